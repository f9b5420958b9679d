package node

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/order"
)

// errCancelledEarly reports a response whose connection has ended before its turn.
var errCancelledEarly = errors.New("connection of an early request has ended")

// _maxHeldWait is how long a response may have waited for room and still be sent in its turn.
// Instances cut off responses that stay unread for seconds, and the request's time runs.
const _maxHeldWait = time.Second

// earlyExchange serves a request before its turn and holds its response, of which it is the
// http.ResponseWriter. In its turn the rest of the response goes to the caller directly.
type earlyExchange struct {
	conn    *pipelinedConn
	seq     uint64
	end     int64 // position in the connection behind the request
	request *http.Request
	ctx     context.Context // of the request
	cancel  context.CancelFunc
	header  http.Header // of the handler, until the head is written

	// Guarded by the connection's mutex, as is what follows.
	changed   *sync.Cond
	status    int // 0 until the head is written
	head      http.Header
	body      []byte
	flushed   bool
	granted   bool      // what the handler asked to hold
	waiting   time.Time // since when the handler has waited for room; zero if it does not
	inTurn    bool
	out       http.ResponseWriter // of the request in turn; nil while the response is held
	cancelled bool
	done      bool
	complete  bool
}

// newEarlyExchange returns the exchange of a request that the connection has just parsed.
func newEarlyExchange(c *pipelinedConn, seq uint64, r *http.Request) *earlyExchange {
	ctx, cancel := context.WithCancel(c.ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	return &earlyExchange{
		conn:    c,
		seq:     seq,
		end:     c.ahead.parsed,
		request: r,
		ctx:     ctx,
		cancel:  cancel,
		header:  http.Header{},
		changed: sync.NewCond(&c.mu),
	}
}

// run serves the request.
func (e *earlyExchange) run() {
	defer e.cancel()
	defer func() {
		failure := recover()
		if failure != nil && failure != http.ErrAbortHandler { //nolint:errorlint // as net/http compares it
			e.conn.pipelines.log.Error("panic while serving an early request", slog.Any("panic", failure), slog.String("stack", string(debug.Stack())))
		}
		e.finish(failure == nil)
	}()
	e.conn.pipelines.handler(e, e.request.WithContext(e.ctx))
}

func (e *earlyExchange) finish(complete bool) {
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	e.done, e.complete = true, complete && !e.cancelled
	if e.cancelled {
		e.dropLocked()
	}
	e.changed.Broadcast()
	c.update(order.DoneMsg{Seq: e.seq})
	c.startEarly()
}

// laterResponse is the writer for a request that is served again and has probably run
// before. A response that says that it has not run would be false.
type laterResponse struct{ http.ResponseWriter }

// WriteHeader aborts the connection if the request is refused.
func (l laterResponse) WriteHeader(status int) {
	if l.Header().Get(HeaderOutcome) == "not-run" {
		panic(http.ErrAbortHandler)
	}
	l.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (l laterResponse) Unwrap() http.ResponseWriter {
	return l.ResponseWriter
}

// sameRequest reports whether two requests without body are the same.
func sameRequest(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Proto == b.Proto && a.Host == b.Host &&
		maps.EqualFunc(a.Header, b.Header, slices.Equal[[]string])
}

// dropLocked releases the response of an exchange that has been cancelled.
func (e *earlyExchange) dropLocked() {
	e.body = nil
	a := e.conn.ahead
	a.queue = slices.DeleteFunc(a.queue, func(other *earlyExchange) bool { return other == e })
}

// cancelLocked ends the exchange; the connection's mutex is held.
func (e *earlyExchange) cancelLocked() {
	e.cancelled = true
	e.cancel()
	if e.done {
		e.dropLocked()
	}
	e.changed.Broadcast()
}

// deliver sends the response in its turn. It returns false if there is none that is sure to
// be whole, so that the request is to be served again, and panics like a handler if the
// response breaks off.
func (e *earlyExchange) deliver(w http.ResponseWriter, r *http.Request) bool {
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !e.done && !e.waiting.IsZero() && time.Since(e.waiting) > _maxHeldWait {
		e.cancelLocked()
		c.update(order.DrainedMsg{})
		return false
	}
	if e.done && !e.complete {
		return false
	}
	defer func() {
		if !e.done {
			e.cancelLocked()
		}
	}()
	defer context.AfterFunc(r.Context(), e.cancel)()
	e.inTurn = true
	if !e.sendHeld(w) {
		e.cancelLocked()
	}
	e.out = w
	c.update(order.DrainedMsg{})
	c.startEarly()
	e.changed.Broadcast()
	for !e.done {
		e.changed.Wait()
	}
	if !e.complete {
		panic(http.ErrAbortHandler)
	}
	if e.status == 0 {
		maps.Copy(w.Header(), e.header)
	}
	return true
}

// sendHeld sends what is held of the response, and reports whether the caller got it.
func (e *earlyExchange) sendHeld(w http.ResponseWriter) bool {
	status, body, flushed := e.status, e.body, e.flushed
	e.body = nil
	// Writing may panic, as for a status that is not valid.
	e.conn.mu.Unlock()
	defer e.conn.mu.Lock()
	if status != 0 {
		writeHead(w, e.head, status)
	}
	if len(body) > 0 {
		if _, err := w.Write(body); err != nil {
			return false
		}
	}
	return !flushed || http.NewResponseController(w).Flush() == nil
}

func writeHead(w http.ResponseWriter, header http.Header, status int) {
	maps.Copy(w.Header(), header)
	w.WriteHeader(status)
}

// Header returns the header of the response.
func (e *earlyExchange) Header() http.Header {
	return e.header
}

// WriteHeader writes the head of the response. It waits for room, or for its turn.
func (e *earlyExchange) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid status code %d", status)) // as net/http does
	}
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.status != 0 {
		return
	}
	held := e.awaitRoom(headerBytes(e.header))
	e.status, e.head = status, e.header.Clone()
	if !held && e.out != nil {
		c.mu.Unlock()
		defer c.mu.Lock()
		writeHead(e.out, e.head, status)
	}
}

// headerBytes returns the size of a header in bytes.
func headerBytes(h http.Header) int64 {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// awaitRoom waits until some bytes may be held, and returns true, or until the response can
// be sent or has been cancelled. The connection's mutex is held.
func (e *earlyExchange) awaitRoom(bytes int64) bool {
	if !e.inTurn && !e.cancelled {
		e.conn.update(order.HoldMsg{Seq: e.seq, Bytes: max(1, bytes)})
	}
	for (!e.granted || e.inTurn) && e.out == nil && !e.cancelled {
		if e.waiting.IsZero() {
			e.waiting = time.Now()
		}
		e.changed.Wait()
	}
	e.waiting = time.Time{}
	held := e.granted && !e.inTurn && !e.cancelled
	e.granted = false
	return held
}

// Write holds a part of the response, or sends it in its turn.
func (e *earlyExchange) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c := e.conn
	c.mu.Lock()
	if e.status == 0 {
		c.mu.Unlock()
		e.WriteHeader(http.StatusOK)
		c.mu.Lock()
	}
	if e.awaitRoom(int64(len(p))) {
		defer c.mu.Unlock()
		e.body = append(e.body, p...)
		return len(p), nil
	}
	out := e.out
	c.mu.Unlock()
	if out == nil {
		return 0, errCancelledEarly
	}
	return out.Write(p)
}

// FlushError sends what has been written in its turn.
func (e *earlyExchange) FlushError() error {
	c := e.conn
	c.mu.Lock()
	out := e.out
	if out == nil {
		e.flushed = true
	}
	c.mu.Unlock()
	if out == nil {
		return nil
	}
	return http.NewResponseController(out).Flush()
}
