package heads

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultCapacity is the budget in bytes of a process whose memory is not set: some 20
	// heads of 16 KiB in the shortest lines at a time, beside the ordinary ones.
	DefaultCapacity = 48 << 20

	// _smallHead is the charge in bytes up to which a head takes from the reserve, without
	// a lock: some 100 lines and 4 KiB.
	_smallHead = 64 << 10
	// _reserveShare is the share of the capacity that is kept for such heads, so that
	// ordinary callers are served while others wait.
	_reserveShare = 0.25
	// _maxWait is how long a read waits for a charge at the most.
	_maxWait = 5 * time.Second
)

// Observer is told of what the budget decides; its methods must not block.
type Observer interface {
	// Waits is called when a connection begins to wait.
	Waits()
	// Closed is called for a closed connection with the charge that it held.
	Closed(held int64)
}

// Pool shares one budget among the connections of a process.
type Pool struct {
	start    time.Time
	patience time.Duration
	reserve  int64
	small    atomic.Int64 // charges from the reserve
	nextID   atomic.Uint64
	observer Observer

	mu     sync.Mutex
	budget Budget
	conns  map[uint64]*Conn // that have a charge in the budget or wait for one
}

// NewPool returns a pool without connections. The observer may be nil.
func NewPool(cfg Config, observer Observer) *Pool {
	reserve := int64(_reserveShare * float64(cfg.Capacity))
	cfg.Capacity -= reserve
	budget := New(cfg)
	return &Pool{
		start: time.Now(), patience: budget.Patience(), reserve: reserve, observer: observer,
		budget: budget, conns: map[uint64]*Conn{},
	}
}

// Used returns the bytes of all charges.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used() + p.small.Load()
}

// Listener returns a listener whose connections share the pool.
func (p *Pool) Listener(l net.Listener) net.Listener { return listener{Listener: l, pool: p} }

type listener struct {
	net.Listener
	pool *Pool
}

// Accept waits for a connection.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(conn, l.pool), nil
}

// TrackState tells a connection of a Pool which state net/http has it in. It has the
// signature of http.Server.ConnState.
func TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.complete()
	case http.StateIdle:
		c.expect()
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// send gives a message to the budget and carries out its decisions.
func (p *Pool) send(msg Msg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendLocked(msg)
}

func (p *Pool) sendLocked(msg Msg) {
	budget, cmds := p.budget.Update(msg)
	p.budget = budget
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case GrantCmd:
			p.conns[cmd.ID].wake()
		case CloseCmd:
			c := p.conns[cmd.ID]
			delete(p.conns, cmd.ID)
			c.evict()
			if p.observer != nil {
				p.observer.Closed(cmd.Held)
			}
		}
	}
}

// charge sets a connection's charge, and reports whether it has to wait for that.
func (p *Pool) charge(c *Conn, total int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.evicted.Load() {
		return true
	}
	if total == 0 {
		delete(p.conns, c.id)
		p.sendLocked(ReleaseMsg{ID: c.id})
		return false
	}
	p.conns[c.id] = c
	waited := p.budget.Waits(c.id)
	p.sendLocked(ChargeMsg{ID: c.id, Total: total, At: time.Since(p.start)})
	waits := p.budget.Waits(c.id)
	if waits && !waited && p.observer != nil {
		p.observer.Waits()
	}
	return waits
}

// await waits for a charge until the deadline.
func (p *Pool) await(c *Conn, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	overdue := time.NewTicker(p.patience)
	defer overdue.Stop()
	for {
		select {
		case <-c.closed:
			return net.ErrClosed
		default:
		}
		if !p.waits(c) {
			return nil
		}
		select {
		case <-c.granted:
		case <-c.closed:
		case <-overdue.C:
			p.send(OverdueMsg{ID: c.id, At: time.Since(p.start)})
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		}
	}
}

func (p *Pool) waits(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Waits(c.id)
}

// release returns a connection's charge.
func (p *Pool) release(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c.id)
	p.sendLocked(ReleaseMsg{ID: c.id})
}
