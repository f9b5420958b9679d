package bodies

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultCapacity is the budget in bytes of a process whose memory is not set.
	DefaultCapacity = 24 << 20
	// DefaultPatience is how long a body waits for room before its request is refused.
	DefaultPatience = time.Second
)

// Config configures a budget.
type Config struct {
	Capacity int64         // bytes of all bodies together; as many may wait
	Patience time.Duration // 0 for DefaultPatience
}

// Msg is an input of a budget.
type Msg interface{ isMsg() }

type (
	// ArriveMsg asks for room for a body.
	ArriveMsg struct {
		ID    uint64
		Bytes int64
		At    time.Duration
	}
	// ShrinkMsg says that a body is shorter than the room that it got.
	ShrinkMsg struct {
		ID    uint64
		Bytes int64
	}
	// LeaveMsg says that a body needs no room any more, or stops waiting.
	LeaveMsg struct{ ID uint64 }
	// OverdueMsg says that a body may have waited for the whole patience.
	OverdueMsg struct {
		ID uint64
		At time.Duration
	}
)

func (ArriveMsg) isMsg()  {}
func (ShrinkMsg) isMsg()  {}
func (LeaveMsg) isMsg()   {}
func (OverdueMsg) isMsg() {}

// Cmd is a decision of a budget.
type Cmd interface{ isCmd() }

type (
	// GrantCmd gives a body the room that it has asked for.
	GrantCmd struct{ ID uint64 }
	// RefuseCmd refuses a body.
	RefuseCmd struct{ ID uint64 }
)

func (GrantCmd) isCmd()  {}
func (RefuseCmd) isCmd() {}

// Budget shares a number of bytes among bodies.
type Budget struct {
	cfg       Config
	used      int64
	held      map[uint64]int64
	waiting   []waiter // the smallest first, and the oldest first among equal ones
	waitBytes int64
	order     uint64 // of the latest arrival
}

type waiter struct {
	id    uint64
	bytes int64
	order uint64
	since time.Duration
}

// New returns a budget without bodies.
func New(cfg Config) Budget {
	cfg.Patience = cmp.Or(cfg.Patience, DefaultPatience)
	return Budget{cfg: cfg, held: map[uint64]int64{}}
}

// Used returns the bytes of all bodies that have room.
func (b Budget) Used() int64 { return b.used }

// Waiting returns the number of bodies that wait.
func (b Budget) Waiting() int { return len(b.waiting) }

// Patience returns how long a body waits at the most.
func (b Budget) Patience() time.Duration { return b.cfg.Patience }

// Update returns the budget after a message, and its decisions.
func (b Budget) Update(msg Msg) (Budget, []Cmd) {
	switch msg := msg.(type) {
	case ArriveMsg:
		b.enqueue(msg)
		cmds := b.grant()
		return b, append(cmds, b.refuseExcess()...)
	case ShrinkMsg:
		if held, ok := b.held[msg.ID]; ok && msg.Bytes < held {
			b.used -= held - msg.Bytes
			b.held[msg.ID] = msg.Bytes
		}
		return b, b.grant()
	case LeaveMsg:
		b.used -= b.held[msg.ID]
		delete(b.held, msg.ID)
		b.dequeue(msg.ID)
		return b, b.grant()
	case OverdueMsg:
		return b, b.expire(msg)
	}
	return b, nil
}

func (b *Budget) enqueue(msg ArriveMsg) {
	b.order++
	w := waiter{id: msg.ID, bytes: msg.Bytes, order: b.order, since: msg.At}
	at, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, at, w)
	b.waitBytes += w.bytes
}

func compareWaiters(a, b waiter) int {
	return cmp.Or(cmp.Compare(a.bytes, b.bytes), cmp.Compare(a.order, b.order))
}

func (b *Budget) dequeue(id uint64) {
	at := slices.IndexFunc(b.waiting, func(w waiter) bool { return w.id == id })
	if at >= 0 {
		b.waitBytes -= b.waiting[at].bytes
		b.waiting = slices.Delete(b.waiting, at, at+1)
	}
}

// grant gives room to the bodies that wait, as long as they fit.
func (b *Budget) grant() []Cmd {
	var cmds []Cmd
	granted := 0
	for _, w := range b.waiting {
		if b.used+w.bytes > b.cfg.Capacity {
			break
		}
		b.used += w.bytes
		b.waitBytes -= w.bytes
		b.held[w.id] = w.bytes
		cmds = append(cmds, GrantCmd{ID: w.id})
		granted++
	}
	b.waiting = slices.Delete(b.waiting, 0, granted)
	return cmds
}

// refuseExcess refuses bodies that would hardly get room in time: the largest, and the latest
// among equal ones, while more wait than have room.
func (b *Budget) refuseExcess() []Cmd {
	var cmds []Cmd
	for b.waitBytes > b.cfg.Capacity {
		last := b.waiting[len(b.waiting)-1]
		b.dequeue(last.id)
		cmds = append(cmds, RefuseCmd{ID: last.id})
	}
	return cmds
}

// expire refuses a body that has waited for the whole patience.
func (b *Budget) expire(msg OverdueMsg) []Cmd {
	overdue := func(w waiter) bool { return w.id == msg.ID && msg.At-w.since >= b.cfg.Patience }
	if !slices.ContainsFunc(b.waiting, overdue) {
		return nil
	}
	b.dequeue(msg.ID)
	return []Cmd{RefuseCmd{ID: msg.ID}}
}
