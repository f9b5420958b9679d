package bodies

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFull reports a body that got no room.
var ErrFull = errors.New("too many request bodies are held")

// Pool shares one budget among the requests of a process.
type Pool struct {
	start time.Time

	mu      sync.Mutex
	budget  Budget
	nextID  uint64
	waiting map[uint64]chan Cmd
}

// NewPool returns a pool without bodies.
func NewPool(cfg Config) *Pool {
	return &Pool{start: time.Now(), budget: New(cfg), waiting: map[uint64]chan Cmd{}}
}

// Used returns the bytes of all bodies that have room.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used()
}

// Charge is the room of one body. A nil Charge has none, and its methods do nothing.
type Charge struct {
	pool *Pool
	id   uint64
}

// Acquire waits for room for a body. It returns ErrFull if there is none in time, and the
// error of the context if that ends first.
func (p *Pool) Acquire(ctx context.Context, size int64) (*Charge, error) {
	decided := make(chan Cmd, 1)
	p.mu.Lock()
	p.nextID++
	id := p.nextID
	p.waiting[id] = decided
	p.sendLocked(ArriveMsg{ID: id, Bytes: size, At: time.Since(p.start)})
	patience := p.budget.Patience()
	p.mu.Unlock()
	overdue := time.NewTicker(patience)
	defer overdue.Stop()
	for {
		select {
		case cmd := <-decided:
			if _, granted := cmd.(GrantCmd); !granted {
				return nil, ErrFull
			}
			return &Charge{pool: p, id: id}, nil
		case <-overdue.C:
			p.send(OverdueMsg{ID: id, At: time.Since(p.start)})
		case <-ctx.Done():
			p.leave(id)
			return nil, errors.Errorf("wait for room for the body: %w", ctx.Err())
		}
	}
}

// Shrink returns the room that the body does not need.
func (c *Charge) Shrink(size int64) {
	if c != nil {
		c.pool.send(ShrinkMsg{ID: c.id, Bytes: size})
	}
}

// Release returns the room of the body. It may be called more than once.
func (c *Charge) Release() {
	if c != nil {
		c.pool.leave(c.id)
	}
}

func (p *Pool) leave(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
	p.sendLocked(LeaveMsg{ID: id})
}

func (p *Pool) send(msg Msg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sendLocked(msg)
}

// sendLocked gives a message to the budget and tells its decisions to those that wait.
func (p *Pool) sendLocked(msg Msg) {
	budget, cmds := p.budget.Update(msg)
	p.budget = budget
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case GrantCmd:
			p.decideLocked(cmd.ID, cmd)
		case RefuseCmd:
			p.decideLocked(cmd.ID, cmd)
		}
	}
}

func (p *Pool) decideLocked(id uint64, cmd Cmd) {
	if decided, ok := p.waiting[id]; ok {
		decided <- cmd
		delete(p.waiting, id)
	}
}
