package heads

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	_http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	_noPreface    = -1

	_frameHeader       = 9 // bytes
	_frameHeaders      = 0x1
	_frameContinuation = 0x9

	// _minField is the least size of a field in the header list of HTTP/2, and _maxList the
	// size of the list that net/http accepts with the limits of this project's servers.
	_minField = 32
	_maxList  = 64<<10 + 10*_minField

	// _startTime is how long after its header block a request may begin at the latest. A
	// block that begins none, as trailers or a refused stream, is released then.
	_startTime = time.Second
)

// MaxStreams is the number of concurrent streams of a connection with HTTP/2. It is the
// least number that the protocol's specification recommends.
const MaxStreams = 100

// block is a header block whose request has not begun.
type block struct {
	cost int64
	at   time.Time
}

// frames counts the header blocks in the frames of HTTP/2.
type frames struct {
	header  [_frameHeader]byte
	read9   int // bytes of the present frame's header that have been read
	left    int // bytes of the present frame's payload that have not been read
	pending []block
	cost    int64 // of the pending blocks
}

// read counts bytes, and reports whether a header block is among them.
func (f *frames) read(p []byte) bool {
	found := false
	for len(p) > 0 {
		if f.left > 0 {
			n := min(f.left, len(p))
			f.left -= n
			p = p[n:]
			continue
		}
		n := copy(f.header[f.read9:], p)
		f.read9 += n
		p = p[n:]
		if f.read9 < _frameHeader {
			return found
		}
		f.read9 = 0
		f.left = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
		if kind := f.header[3]; kind == _frameHeaders || kind == _frameContinuation {
			f.add(block{cost: blockCost(f.left), at: time.Now()}, kind == _frameContinuation)
			found = true
		}
	}
	return found
}

// blockCost returns the charge for a header block before it is decoded. Each of its bytes
// may be a field, as far as the list may grow.
func blockCost(size int) int64 {
	return count{bytes: min(size, _maxList), lines: min(size, _maxList/_minField)}.cost()
}

// add records a header block, or the continuation of the latest one.
func (f *frames) add(b block, continues bool) {
	for len(f.pending) > 0 && b.at.Sub(f.pending[0].at) > _startTime {
		f.begin()
	}
	if last := len(f.pending) - 1; continues && last >= 0 {
		b.cost = min(b.cost, blockCost(_maxList)-f.pending[last].cost)
		f.pending[last].cost += b.cost
	} else {
		f.pending = append(f.pending, b)
	}
	f.cost += b.cost
}

// begin removes the oldest header block, as net/http begins requests in their order.
func (f *frames) begin() {
	if len(f.pending) > 0 {
		f.cost -= f.pending[0].cost
		f.pending = f.pending[1:]
	}
}

type connKey struct{}

// ConnContext lets Handler know the connection of a request. It has the signature of
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// Handler returns a handler that charges the requests of HTTP/2 for what their heads hold
// while they run, instead of for their header blocks. Those of HTTP/1 it only passes on.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 2 {
			if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
				cost := headerCost(r.Header)
				c.updateStreams(cost, true)
				defer c.updateStreams(-cost, false)
			}
		}
		next.ServeHTTP(w, r)
	})
}

// headerCost returns the charge for a parsed header.
func headerCost(h http.Header) int64 {
	var c count
	for name, values := range h {
		for _, value := range values {
			c = c.plus(count{len(name) + len(value), 1})
		}
	}
	return c.cost()
}
