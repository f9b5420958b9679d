package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

const (
	_copyBuffer = 32 << 10
	_maxResumes = 3
)

// copyAnswer streams the whole answer to the caller, or ends the caller's
// connection with an error.
func (e *exchange) copyAnswer(res *result) {
	out := e.w.Header()
	for name, values := range cleanHeader(res.response.Header) {
		out[name] = values
	}
	out.Set(e.server.headers.Request, e.id)
	out.Set(HeaderOutcome, "ran")
	e.w.WriteHeader(res.response.StatusCode)
	d := download{
		exchange: e,
		etag:     res.response.Header.Get("ETag"),
		length:   res.response.ContentLength,
	}
	whole := d.copy(res)
	for tries := 0; !whole && d.resumable(res) && tries < _maxResumes; tries++ {
		whole = d.resume(&res)
	}
	if !whole {
		e.server.stats.broken.Inc(1)
		panic(http.ErrAbortHandler)
	}
	e.server.stats.answer.RecordDuration(time.Since(e.began))
}

// download is an answer on its way to the caller.
type download struct {
	exchange *exchange
	etag     string
	length   int64
	sent     int64
	gone     bool // the caller is
}

// copy sends what the attempt still brings and reports whether it was whole.
func (d *download) copy(res *result) bool {
	buffer := make([]byte, _copyBuffer)
	flusher := http.NewResponseController(d.exchange.w)
	for {
		n, err := res.response.Body.Read(buffer)
		if n > 0 && !d.write(buffer[:n], flusher) {
			return false
		}
		if err == io.EOF { //nolint:errorlint // the reader returns it bare
			return true
		}
		if err != nil {
			return false
		}
	}
}

func (d *download) write(data []byte, flusher *http.ResponseController) bool {
	n, err := d.exchange.w.Write(data)
	d.sent += int64(n)
	if err != nil || flusher.Flush() != nil {
		d.gone = true
		return false
	}
	return true
}

// resumable tells a download that another instance can continue: the whole of
// an unchanging resource of known length.
func (d *download) resumable(res *result) bool {
	strong := d.etag != "" && !strings.HasPrefix(d.etag, "W/")
	get := d.exchange.r.Method == http.MethodGet && !d.exchange.match.Route.Once
	plain := d.exchange.r.Header.Get("Range") == ""
	return !d.gone && strong && get && plain && d.length > 0 &&
		(res.response == nil || res.response.StatusCode == http.StatusOK || res.response.StatusCode == http.StatusPartialContent)
}

// resume continues the download from another instance.
func (d *download) resume(res **result) bool {
	e := d.exchange
	(*res).discard()
	ctx, cancel := context.WithTimeout(e.r.Context(), e.match.Service.Timeout.Std())
	defer cancel()
	e.deadline = time.Now().Add(e.match.Service.Timeout.Std())
	e.header.Set("Range", fmt.Sprintf("bytes=%d-", d.sent))
	e.header.Set("If-Range", d.etag)
	next, ok := e.try(ctx)
	if !ok {
		return false
	}
	*res = next
	e.last = next
	if next.fate != retry.Executed || !d.continues(next.response) {
		return false
	}
	e.server.stats.resumed.Inc(1)
	return d.copy(next)
}

// continues checks that a partial answer goes on exactly where the last one
// ended.
func (d *download) continues(r *http.Response) bool {
	if r == nil || r.StatusCode != http.StatusPartialContent || r.Header.Get("ETag") != d.etag {
		return false
	}
	want := fmt.Sprintf("bytes %d-%d/%d", d.sent, d.length-1, d.length)
	return r.Header.Get("Content-Range") == want
}
