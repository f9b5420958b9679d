package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

const (
	_copyBuffer = 32 << 10
	_maxResumes = 3
)

// copyResponse streams the response to the caller, resuming an interrupted
// download from another instance where possible. If the response stays
// incomplete, it aborts the caller's connection.
func (e *exchange) copyResponse(res *attemptResult) {
	out := e.w.Header()
	for name, values := range forwardableHeader(res.response.Header) {
		out[name] = values
	}
	out.Set(e.server.headers.RequestID, e.id)
	out.Set(HeaderOutcome, "ran")
	if !e.body.ended() {
		// net/http would consume the rest of the upload before it sends the head.
		_ = http.NewResponseController(e.w).EnableFullDuplex()
		out.Set("Connection", "close")
	}
	e.w.WriteHeader(res.response.StatusCode)
	d := download{
		exchange: e,
		etag:     res.response.Header.Get("ETag"),
		length:   res.response.ContentLength,
	}
	complete := d.copy(res)
	for resumes := 0; !complete && d.resumable(res) && resumes < _maxResumes; resumes++ {
		complete = d.resume(&res)
	}
	if !complete {
		e.server.stats.broken.Inc(1)
		e.server.log.Info("response to a caller broke off", slog.String("request", e.id), slog.Int64("bytes", d.sent),
			slog.Bool("caller_gone", d.callerGone), slog.String("error", fmt.Sprint(d.failed)))
		panic(http.ErrAbortHandler)
	}
	e.server.stats.answer.RecordDuration(time.Since(e.startedAt))
}

// download is the state of a response body that is being sent to the caller.
type download struct {
	exchange   *exchange
	etag       string
	length     int64
	sent       int64
	callerGone bool  // writing to the caller failed
	failed     error // of the last read or write
}

// copy sends the rest of the response body and reports whether it was complete.
func (d *download) copy(res *attemptResult) bool {
	buffer := make([]byte, _copyBuffer)
	flusher := http.NewResponseController(d.exchange.w)
	for {
		n, err := res.response.Body.Read(buffer)
		if n > 0 && !d.write(buffer[:n], flusher) {
			return false
		}
		if err == io.EOF { //nolint:errorlint // Body.Read returns io.EOF unwrapped
			return true
		}
		if err != nil {
			d.failed = err
			return false
		}
	}
}

func (d *download) write(data []byte, flusher *http.ResponseController) bool {
	n, err := d.exchange.w.Write(data)
	d.sent += int64(n)
	if err == nil {
		err = flusher.Flush()
	}
	if err != nil {
		d.callerGone, d.failed = true, err
		return false
	}
	return true
}

// resumable reports whether another instance can continue the download: it must
// be a GET for a whole resource of known length with a strong ETag.
func (d *download) resumable(res *attemptResult) bool {
	strong := d.etag != "" && !strings.HasPrefix(d.etag, "W/")
	get := d.exchange.r.Method == http.MethodGet && !d.exchange.match.Route.Once
	whole := d.exchange.r.Header.Get("Range") == ""
	return !d.callerGone && strong && get && whole && d.length > 0 &&
		(res.response == nil || res.response.StatusCode == http.StatusOK || res.response.StatusCode == http.StatusPartialContent)
}

// resume continues the download from another instance.
func (d *download) resume(res **attemptResult) bool {
	e := d.exchange
	(*res).close()
	ctx, cancel := context.WithTimeout(e.r.Context(), e.match.Service.Timeout.Std())
	defer cancel()
	e.deadline = time.Now().Add(e.match.Service.Timeout.Std())
	e.header.Set("Range", fmt.Sprintf("bytes=%d-", d.sent))
	e.header.Set("If-Range", d.etag)
	next, ok := e.tryInstance(ctx)
	if !ok {
		return false
	}
	*res = next
	e.lastResult = next
	if next.execution != retry.Executed || !d.continuesAt(next.response) {
		return false
	}
	e.server.stats.resumed.Inc(1)
	return d.copy(next)
}

// continuesAt reports whether a partial response continues the same resource
// exactly where the previous one ended.
func (d *download) continuesAt(r *http.Response) bool {
	if r == nil || r.StatusCode != http.StatusPartialContent || r.Header.Get("ETag") != d.etag {
		return false
	}
	want := fmt.Sprintf("bytes %d-%d/%d", d.sent, d.length-1, d.length)
	return r.Header.Get("Content-Range") == want
}
