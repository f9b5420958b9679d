package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/damaskpitch/damaskpitch/order"
)

// pipelinedConn is a caller's connection under net/http. While a handler runs, net/http
// reads one byte from it to notice that the caller leaves. The connection reads on then, into
// a buffer of its own, and starts the requests that it finds there. Until a caller
// pipelines it has no buffer, and reads go straight into that of net/http.
type pipelinedConn struct {
	net.Conn
	pipelines *pipelines
	ctx       context.Context // of the connection

	mu       sync.Mutex
	position order.Position
	turn     *http.Request // being served in turn, or nil
	ahead    *readAhead    // nil until the caller pipelines
	failed   error         // of the read that found the connection broken
	reading  bool          // into the buffer
	closed   bool
	giveUp   context.CancelFunc // ends the request in turn; nil if it must not be ended
}

// readAhead is what a connection has read ahead.
type readAhead struct {
	model   order.Model
	buffer  *[_aheadBuffer]byte // nil while nothing is buffered
	r, w    int                 // bounds of the buffered bytes
	scanner order.Scanner       // of the head that is not complete
	parsed  int64               // position in the connection where that head begins
	scanned int64               // and up to which it has been scanned
	queue   []*earlyExchange
	turn    *earlyExchange // whose turn it is, or nil
}

func (a *readAhead) buffered() int {
	if a == nil {
		return 0
	}
	return a.w - a.r
}

// NetConn returns the connection below.
func (c *pipelinedConn) NetConn() net.Conn {
	return c.Conn
}

// CloseWrite ends the responses; net/http waits then for the caller to close.
func (c *pipelinedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Read reads for net/http, which asks for a single byte behind the end of a request only
// while its handler runs.
func (c *pipelinedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case len(p) == 1 && c.position.Ended():
		c.mu.Unlock()
		return c.readAhead(p)
	case c.failed != nil:
		defer c.mu.Unlock()
		return 0, c.failed
	case c.ahead.buffered() > 0:
		defer c.mu.Unlock()
		return c.give(p), nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		n = c.accept(p[:n])
		c.mu.Unlock()
	}
	return n, err
}

// accept takes bytes that were read for net/http and returns how many of them it gets now;
// the rest is buffered.
func (c *pipelinedConn) accept(b []byte) int {
	given := c.position.Give(b, false)
	if given < len(b) && !c.keep(b[given:]) {
		c.position.Lose()
		return len(b)
	}
	return given
}

// keep buffers bytes, while nothing is buffered. It returns false if there is no room.
func (c *pipelinedConn) keep(b []byte) bool {
	if len(b) > _aheadBuffer || c.closed {
		return false
	}
	buffer := c.pipelines.takeBuffer()
	if buffer == nil {
		return false
	}
	if c.ahead == nil {
		c.ahead = &readAhead{model: order.New(c.pipelines.cfg)}
		c.pipelines.track(c, true)
		if c.turn != nil {
			c.ahead.parsed = c.position.Given()
			c.ahead.scanned = c.ahead.parsed
			c.update(order.TurnMsg{Open: c.opens(c.turn)})
		}
	}
	c.ahead.buffer, c.ahead.r, c.ahead.w = buffer, 0, copy(buffer[:], b)
	return true
}

// give moves buffered bytes to net/http, at most up to the end of a head.
func (c *pipelinedConn) give(p []byte) int {
	a := c.ahead
	next := a.buffer[a.r:a.w]
	n := c.position.Give(next[:min(len(p), len(next))], true)
	copy(p, next[:n])
	a.r += n
	if a.r == a.w {
		c.dropBuffer()
	}
	return n
}

func (c *pipelinedConn) dropBuffer() {
	if a := c.ahead; a != nil && a.buffer != nil {
		c.pipelines.returnBuffer(a.buffer)
		a.buffer, a.r, a.w = nil, 0, 0
	}
}

// readAhead reads until net/http ends its read by a deadline, the connection breaks, or the
// buffer is full. Only in the last case does net/http get a byte.
func (c *pipelinedConn) readAhead(p []byte) (int, error) {
	c.mu.Lock()
	buffered := c.ahead.buffered()
	c.mu.Unlock()
	if buffered == 0 {
		// A caller that doesn't pipeline needs no buffer.
		n, err := c.Conn.Read(p)
		if n, kept := c.keepFirst(p[:n], err); !kept {
			return n, err
		}
	}
	return c.fill(p)
}

// keepFirst buffers the byte that was read behind the end of a request, or accepts it for
// net/http. It returns what net/http gets, and whether the byte was buffered.
func (c *pipelinedConn) keepFirst(b []byte, err error) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(b) == 0:
		c.fail(err)
		return 0, false
	case c.position.Between() && c.turn == nil:
		// The handler has returned: the caller sends its next request.
	case c.position.Ended() && c.keep(b):
		return 0, true
	}
	return c.accept(b), false
}

// fill reads into the buffer.
func (c *pipelinedConn) fill(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.startEarly()
		a := c.ahead
		if a.r > 0 {
			a.w = copy(a.buffer[:], a.buffer[a.r:a.w])
			a.r = 0
		}
		if a.w == len(a.buffer) {
			return c.give(p), nil
		}
		free := a.buffer[a.w:]
		c.reading = true
		c.mu.Unlock()
		n, err := c.Conn.Read(free)
		c.mu.Lock()
		c.reading = false
		a.w += n
		if c.closed {
			c.dropBuffer()
		}
		if err != nil {
			c.fail(err)
			return 0, err
		}
	}
}

// fail records the error of a read. Unless it is a time-out, by which net/http ends a read,
// the connection is broken: its requests are cancelled.
func (c *pipelinedConn) fail(err error) {
	// errors.As would cost each request of a caller that doesn't pipeline two allocations.
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() { //nolint:errorlint // the error of a net.Conn
		return
	}
	c.failed = err
	c.cancelEarly("connection broken")
	c.dropBuffer()
}

// Close closes the connection and cancels what has started early.
func (c *pipelinedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.ahead != nil {
		c.pipelines.track(c, false)
	}
	c.cancelEarly("connection closed")
	if !c.reading {
		c.dropBuffer()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// cancelEarly cancels the early requests; no others start on this connection.
func (c *pipelinedConn) cancelEarly(reason string) {
	if c.ahead == nil {
		return
	}
	if n := c.ahead.model.Pending(); n > 0 {
		c.pipelines.log.Info("pipelined requests cancelled", slog.Int("count", n),
			slog.String("from", c.RemoteAddr().String()), slog.String("reason", reason))
	}
	c.update(order.BrokenMsg{})
}

// begin says that net/http begins to serve a request. It returns the early exchange of this
// request, if any, and whether others behind it have started.
func (c *pipelinedConn) begin(r *http.Request) (*earlyExchange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	length := r.ContentLength
	switch {
	case len(r.TransferEncoding) > 0:
		length = -1
	case r.Body == nil || r.Body == http.NoBody:
		length = 0
	}
	c.position.Begin(length)
	c.turn = r
	a := c.ahead
	if a == nil {
		return nil, false
	}
	if at := c.position.End(); a.parsed < at {
		a.parsed, a.scanned, a.scanner = at, at, order.Scanner{}
	}
	var early *earlyExchange
	for _, cmd := range c.update(order.TurnMsg{Open: c.opens(r)}) {
		if cmd, ok := cmd.(order.DeliverCmd); ok {
			early = c.exchange(cmd.Seq)
		}
	}
	if early != nil {
		a.queue = slices.DeleteFunc(a.queue, func(e *earlyExchange) bool { return e == early })
		a.turn = early
		if !c.position.Known() || early.end != c.position.End() || !sameRequest(early.request, r) {
			c.pipelines.log.Error("an early request differs from the one in its turn", slog.String("from", r.RemoteAddr))
			c.position.Lose()
			c.cancelEarly("requests differ")
			return nil, false
		}
	}
	c.startEarly()
	return early, a.model.Pending() > 0
}

// opens reports whether the requests behind one that is served in turn may start.
func (c *pipelinedConn) opens(r *http.Request) bool {
	return c.position.Between() && (r.Method == http.MethodGet || r.Method == http.MethodHead) &&
		r.ProtoAtLeast(1, 1) && !r.Close && c.pipelines.idempotent(r)
}

// end says that the handler of the request in turn has returned.
func (c *pipelinedConn) end(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn, c.giveUp = nil, nil
	if c.ahead == nil {
		return
	}
	closing := r.Close || w.Header().Get("Connection") == "close"
	if closing {
		c.cancelEarly("response closes the connection")
	}
	c.update(order.AnsweredMsg{Closing: closing})
	c.ahead.turn = nil
}

// startEarly starts the buffered requests that may start.
func (c *pipelinedConn) startEarly() {
	a := c.ahead
	if c.turn == nil || !c.position.Between() || a.parsed < c.position.Given() || a.buffer == nil {
		return
	}
	if c.pipelines.stopping() {
		c.update(order.StopMsg{})
	}
	for {
		from := a.r + int(a.parsed-c.position.Given())
		scanned := from + int(a.scanned-a.parsed)
		n, found := a.scanner.Scan(a.buffer[scanned:a.w])
		a.scanned += int64(n)
		if !found {
			return
		}
		head := a.buffer[from : scanned+n]
		if !c.pipelines.wants(a.model, order.Cost(head)) {
			a.scanner, a.scanned = order.Scanner{}, a.parsed
			return
		}
		r, ok := order.Parse(head)
		if !ok || !c.pipelines.idempotent(r) {
			a.scanner, a.scanned = order.Scanner{}, a.parsed
			c.update(order.ReadMsg{})
			return
		}
		a.parsed += int64(len(head))
		a.scanner, a.scanned = order.Scanner{}, a.parsed
		if !c.start(r, order.Cost(head)) {
			a.parsed -= int64(len(head))
			a.scanned = a.parsed
			return
		}
	}
}

// start starts a request before its turn. It returns false if other connections have taken
// the room meanwhile.
func (c *pipelinedConn) start(r *http.Request, cost int64) bool {
	started := false
	for _, cmd := range c.update(order.ReadMsg{Early: true, Cost: cost}) {
		if cmd, ok := cmd.(order.StartCmd); ok {
			e := newEarlyExchange(c, cmd.Seq, r)
			c.ahead.queue = append(c.ahead.queue, e)
			c.pipelines.started.Inc(1)
			go e.run()
			started = true
		}
	}
	return started
}

// update sends a message to the model and executes the commands that concern exchanges
// which have started.
func (c *pipelinedConn) update(msg order.Msg) []order.Cmd {
	model, cmds := c.pipelines.update(c.ahead.model, msg)
	c.ahead.model = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case order.HoldCmd:
			if e := c.exchange(cmd.Seq); e != nil {
				e.granted = true
				e.changed.Broadcast()
			}
		case order.CancelCmd:
			if e := c.exchange(cmd.Seq); e != nil {
				c.pipelines.cancelled.Inc(1)
				e.cancelLocked()
			}
		}
	}
	return cmds
}

// exchange returns an early exchange that has not been answered, or nil.
func (c *pipelinedConn) exchange(seq uint64) *earlyExchange {
	a := c.ahead
	if a.turn != nil && a.turn.seq == seq {
		return a.turn
	}
	for _, e := range a.queue {
		if e.seq == seq {
			return e
		}
	}
	return nil
}
