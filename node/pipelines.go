package node

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/order"
)

const (
	// _pipelinedRequests is how many requests of a connection run at once.
	_pipelinedRequests = 8
	// _pipelinedHeld is how many bytes are held for requests of a connection that wait for
	// their turn: two whole pieces of _copyBuffer, or several short responses.
	_pipelinedHeld = 64 << 10
	// _pipelinedTotal bounds that, the buffers for reading ahead and the early requests that
	// run, in the process.
	_pipelinedTotal = 8 << 20
	// _aheadBuffer is the size of a connection's buffer for reading ahead. The head of a
	// request that the plan's usual limit allows fits.
	_aheadBuffer = 16 << 10
	// _earlyCost is what an early request takes while it runs: the buffer of 32 KiB through
	// which its response is copied, its stack, and the buffers of a connection to an owner.
	// Counted, not measured. Without it callers that pipeline could have a node run several
	// times as many requests at once as it has connections.
	_earlyCost = 48 << 10
)

// pipelines serves callers that pipeline: it starts requests before their turn and holds
// their responses, within the bounds of the process.
type pipelines struct {
	cfg     order.Config
	handler http.HandlerFunc
	// idempotent reports whether the route of a request is known and idempotent.
	idempotent func(*http.Request) bool
	stopping   func() bool
	log        *slog.Logger
	started    tally.Counter
	cancelled  tally.Counter
	again      tally.Counter
	heldBytes  tally.Gauge

	mu      sync.Mutex
	total   int64
	free    int64
	conns   map[*pipelinedConn]struct{} // that have read ahead
	pending int                         // early requests that have not been answered
	buffers sync.Pool                   // of *[_aheadBuffer]byte
}

func newPipelines(s *Server) *pipelines {
	settings := s.cfg.Settings.Pipeline
	total := cmp.Or(settings.Total, _pipelinedTotal)
	return &pipelines{
		cfg:        pipelineConfig(settings),
		handler:    s.serveCaller,
		idempotent: s.isIdempotent,
		stopping:   s.isStopping,
		log:        s.log,
		started:    s.stats.pipelined,
		cancelled:  s.stats.pipelinedCancelled,
		again:      s.stats.pipelinedAgain,
		heldBytes:  s.stats.pipelinedBytes,
		total:      total,
		free:       total,
		conns:      map[*pipelinedConn]struct{}{},
		buffers:    sync.Pool{New: func() any { return new([_aheadBuffer]byte) }},
	}
}

func pipelineConfig(settings config.Pipeline) order.Config {
	return order.Config{
		Requests: cmp.Or(settings.Requests, _pipelinedRequests),
		Held:     cmp.Or(settings.Held, _pipelinedHeld),
	}
}

// isIdempotent reports whether the route of a request is known and idempotent.
func (s *Server) isIdempotent(r *http.Request) bool {
	match, _, ok := s.fleet.find(r.Host, r.Method, sentPath(r), 0)
	return ok && !match.Route.Once
}

// wrap returns a listener whose connections read ahead, and the function that lets their
// handlers find them.
func (p *pipelines) wrap(l net.Listener) (net.Listener, func(context.Context, net.Conn) context.Context) {
	return &pipelinedListener{Listener: l, pipelines: p}, withPipelinedConn
}

type pipelinedListener struct {
	net.Listener
	pipelines *pipelines
}

// Accept returns the next connection.
func (l *pipelinedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pipelinedConn{Conn: conn, pipelines: l.pipelines}, nil
}

// pipelinedConnKey is the key of a connection in its context.
type pipelinedConnKey struct{}

// withPipelinedConn returns the context of a connection, in which its requests find it. The
// connection may lie below others.
func withPipelinedConn(ctx context.Context, conn net.Conn) context.Context {
	for {
		if c, ok := conn.(*pipelinedConn); ok {
			c.ctx = ctx
			return context.WithValue(ctx, pipelinedConnKey{}, c)
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		conn = outer.NetConn()
	}
}

// ServeHTTP serves the next request of a connection in turn, with the response of its early
// exchange if there is one.
func (p *pipelines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(pipelinedConnKey{}).(*pipelinedConn)
	if !ok || r.ProtoMajor != 1 {
		p.handler(w, r)
		return
	}
	early, more := c.begin(r)
	if more {
		// A stopping node closes connections behind the last request that has started.
		w.Header().Del("Connection")
	}
	defer c.end(w, r)
	if early == nil {
		p.serveInTurn(c, w, r)
	} else if !early.deliver(w, r) {
		p.again.Inc(1)
		p.handler(laterResponse{w}, r)
	}
}

// track adds or removes a connection that has read ahead.
func (p *pipelines) track(c *pipelinedConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// update sends a message to the model of a connection and accounts for what it holds then.
func (p *pipelines) update(m order.Model, msg order.Msg) (order.Model, []order.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	charge, pending := chargeOf(m), m.Pending()
	room := p.free
	if _, ok := msg.(order.ReadMsg); ok {
		room -= _earlyCost
	}
	m, cmds := m.WithRoom(room).Update(msg)
	p.pending += m.Pending() - pending
	p.chargeLocked(chargeOf(m) - charge)
	return m, cmds
}

// chargeOf returns what a connection's requests take of the process's budget.
func chargeOf(m order.Model) int64 {
	return m.Held() + int64(m.Running())*_earlyCost
}

// wants reports whether a connection's next head is to be parsed.
func (p *pipelines) wants(m order.Model, cost int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.WithRoom(p.free - _earlyCost).Wants(cost)
}

// takeBuffer returns a buffer for reading ahead, or nil if the process holds too much.
func (p *pipelines) takeBuffer() *[_aheadBuffer]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free < _aheadBuffer {
		return nil
	}
	p.chargeLocked(_aheadBuffer)
	return p.buffers.Get().(*[_aheadBuffer]byte)
}

func (p *pipelines) returnBuffer(buffer *[_aheadBuffer]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chargeLocked(-_aheadBuffer)
	p.buffers.Put(buffer)
}

func (p *pipelines) chargeLocked(bytes int64) {
	if bytes == 0 {
		return
	}
	p.free -= bytes
	p.heldBytes.Update(float64(p.total - p.free))
}

// awaitAnswered waits until the early requests have had their turn, but not longer than the
// limit. A server that shuts down closes each connection behind the response in turn.
func (p *pipelines) awaitAnswered(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(_connPollInterval) {
		p.mu.Lock()
		pending := p.pending
		p.mu.Unlock()
		if pending == 0 {
			return
		}
	}
}
