package node

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// _maxReplayBody is the size in bytes up to which a request body is buffered.
	_maxReplayBody = 64 << 10
	// _freeBody is the size in bytes up to which a body is not charged: a connection has
	// buffers of this size anyway.
	_freeBody = 4 << 10
	// _bodyLogInterval is the least time between two log lines on bodies without room.
	_bodyLogInterval = 10 * time.Second
	// _bodyRetryAfter is when callers may return whose bodies got no room, in seconds.
	_bodyRetryAfter = "1"
	// _minHeldBody is the size in bytes from which a body is kept back until the owner
	// admits the attempt, so that no owner gets a large body only to refuse it.
	_minHeldBody = 16 << 10
	// _minHeldCrossingBody applies to an owner in another data centre. Waiting costs a
	// round trip, some 50 bytes and, after a refusal, a new connection.
	_minHeldCrossingBody = 1 << 10
	// _continueTimeout bounds how long an ingress keeps such a body back until the
	// owner admits the attempt. The attempt's deadline ends the wait earlier.
	_continueTimeout = 15 * time.Minute
)

var (
	errBodyTooLarge = errors.New("body exceeds the limit")
	errAttemptEnded = errors.New("attempt has ended")
	errBodyTimeout  = errors.New("body did not arrive in time")
	errBodyRead     = errors.New("body cannot be read")
)

// requestBody is a caller's body. Up to _maxReplayBody bytes of it are buffered and can
// be sent any number of times. The rest of a longer one is streamed, once, by the only
// attempt that may read it.
type requestBody struct {
	buffered []byte

	rest     io.Reader   // nil if the whole body is buffered
	tooLarge atomic.Bool // the rest exceeded the limit
	atEnd    atomic.Bool // the rest has been read

	mu      sync.Mutex
	started bool         // part of the rest has been read
	reader  *attemptBody // of the attempt that may read the rest
}

// readBody buffers the beginning of a body of at most limit bytes, 0 for no limit. It
// returns errBodyTooLarge, errBodyTimeout or errBodyRead; nothing has been sent on then.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Errorf("set read deadline: %w", err)
	}
	var head bytes.Buffer
	if r.ContentLength > 0 {
		head.Grow(int(min(r.ContentLength, _maxReplayBody)) + bytes.MinRead)
	}
	n, err := head.ReadFrom(io.LimitReader(body, _maxReplayBody+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if n > _maxReplayBody {
		return &requestBody{buffered: head.Bytes(), rest: body}, nil
	}
	if err := connection.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, errors.Errorf("clear read deadline: %w", err)
	}
	return &requestBody{buffered: head.Bytes()}, nil
}

// bufferedSize returns how many bytes of a request's body are buffered at the most, 0 if it is
// longer than the limit and none are.
func bufferedSize(r *http.Request, limit int64) int64 {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength < 0:
		return _maxReplayBody + 1
	case limit > 0 && r.ContentLength > limit:
		return 0
	}
	return min(r.ContentLength, _maxReplayBody+1)
}

// bodyError translates an error of reading a caller's body.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooLarge):
		return errBodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return errBodyTimeout
	}
	return errors.Mark(errors.Errorf("read body: %w", err), errBodyRead)
}

// whole reports whether the whole body is buffered.
func (b *requestBody) whole() bool {
	return b.rest == nil
}

// ended reports whether all of the body has arrived.
func (b *requestBody) ended() bool {
	return b.whole() || b.atEnd.Load()
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool {
	if b.whole() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.started
}

// open returns the body for one attempt, and its length. Closing it keeps the attempt's
// connection from reading on after the attempt has ended.
func (b *requestBody) open(contentLength int64) (io.ReadCloser, int64) {
	if b.whole() {
		if len(b.buffered) == 0 {
			return http.NoBody, 0
		}
		return io.NopCloser(bytes.NewReader(b.buffered)), int64(len(b.buffered))
	}
	reader := &attemptBody{body: b}
	b.mu.Lock()
	b.reader = reader
	b.mu.Unlock()
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(b.buffered), reader), reader}, contentLength
}

// start reports whether the attempt may read the streamed part, which then belongs to
// this attempt for good.
func (b *requestBody) start(reader *attemptBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != reader {
		return false
	}
	b.started = true
	return true
}

// held reports whether the body is kept back until the owner admits the attempt.
func (b *requestBody) held(crossing bool) bool {
	if crossing {
		return !b.whole() || len(b.buffered) >= _minHeldCrossingBody
	}
	return !b.whole() || len(b.buffered) >= _minHeldBody
}

// release ends the right of the current attempt to read the streamed part.
func (b *requestBody) release() {
	if b.whole() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = nil
}

// attemptBody reads the streamed part of a body for one attempt.
type attemptBody struct{ body *requestBody }

// Read reads from the caller.
func (a *attemptBody) Read(p []byte) (int, error) {
	if !a.body.start(a) {
		return 0, errAttemptEnded
	}
	n, err := a.body.rest.Read(p)
	if err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
		a.body.atEnd.Store(true)
	}
	if err == nil || err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped
		return n, err
	}
	err = bodyError(err)
	if errors.Is(err, errBodyTooLarge) {
		a.body.tooLarge.Store(true)
	}
	return n, err
}

// Close ends the attempt's right to read.
func (a *attemptBody) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	if a.body.reader == a {
		a.body.reader = nil
	}
	return nil
}
