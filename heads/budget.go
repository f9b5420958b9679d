package heads

import (
	"cmp"
	"slices"
	"time"
)

// DefaultPatience is how long a connection waits for a charge before one is closed. It is
// below the shortest read timeout of a plan in use, 3 s, so that a head that waits behind
// incomplete ones can still arrive in time.
const DefaultPatience = time.Second

// _searchesPerPatience bounds how often a connection to close is searched for: each search
// looks at all connections, and all of a crowd become overdue within one patience.
const _searchesPerPatience = 64

// Config configures a budget.
type Config struct {
	Capacity int64         // bytes of all charges together
	Patience time.Duration // 0 for DefaultPatience
}

// Msg is an input of a budget.
type Msg interface{ isMsg() }

type (
	// ChargeMsg asks that the charge of a connection grow to Total, or lowers it.
	ChargeMsg struct {
		ID    uint64
		Total int64
		At    time.Duration
	}
	// CompleteMsg says that a connection's head is complete and its request runs.
	CompleteMsg struct{ ID uint64 }
	// ReleaseMsg says that a connection needs its charge no more, nor waits for one.
	ReleaseMsg struct{ ID uint64 }
	// OverdueMsg says that a connection may have waited for the whole patience.
	OverdueMsg struct {
		ID uint64
		At time.Duration
	}
)

func (ChargeMsg) isMsg()   {}
func (CompleteMsg) isMsg() {}
func (ReleaseMsg) isMsg()  {}
func (OverdueMsg) isMsg()  {}

// Cmd is a decision of a budget.
type Cmd interface{ isCmd() }

type (
	// GrantCmd lets a connection read on: its charge is in the budget.
	GrantCmd struct{ ID uint64 }
	// CloseCmd closes a connection with an incomplete head; its charge is released.
	CloseCmd struct {
		ID   uint64
		Held int64
	}
)

func (GrantCmd) isCmd() {}
func (CloseCmd) isCmd() {}

// Budget shares a number of bytes among the heads of connections; one loop owns it.
type Budget struct {
	cfg     Config
	used    int64
	order   uint64 // of the latest request for a charge
	holders map[uint64]*holder
	waiting []waiter // the smallest charge first
	// searchedAt is when a connection to close was last searched for.
	searchedAt time.Duration
}

// holder is a connection that has a charge or waits for one.
type holder struct {
	held     int64
	waits    bool
	since    time.Duration // when it began to wait, or another was closed for it
	complete bool
}

type waiter struct {
	id    uint64
	total int64
	order uint64
}

// New returns a budget without charges.
func New(cfg Config) Budget {
	cfg.Patience = cmp.Or(cfg.Patience, DefaultPatience)
	return Budget{cfg: cfg, holders: map[uint64]*holder{}}
}

// Used returns the bytes of all charges.
func (b Budget) Used() int64 { return b.used }

// Waits reports whether a connection waits for a charge.
func (b Budget) Waits(id uint64) bool {
	h := b.holders[id]
	return h != nil && h.waits
}

// Waiting returns the number of connections that wait for a charge.
func (b Budget) Waiting() int { return len(b.waiting) }

// Patience returns how long a connection waits before one is closed.
func (b Budget) Patience() time.Duration { return b.cfg.Patience }

// Update returns the budget after a message, and its decisions.
func (b Budget) Update(msg Msg) (Budget, []Cmd) {
	switch msg := msg.(type) {
	case ChargeMsg:
		return b.grant(b.charge(msg))
	case CompleteMsg:
		if h := b.holders[msg.ID]; h != nil {
			h.complete = true
		}
		return b, nil
	case ReleaseMsg:
		b.drop(msg.ID)
		return b.grant(nil)
	case OverdueMsg:
		return b.expire(msg)
	}
	return b, nil
}

// charge lowers a connection's charge, or puts it among those that wait for a greater one.
func (b *Budget) charge(msg ChargeMsg) []Cmd {
	h := b.holders[msg.ID]
	if h == nil {
		h = &holder{}
		b.holders[msg.ID] = h
	}
	since, waited := msg.At, h.waits
	if waited {
		since = h.since
		b.stopWaiting(msg.ID)
	}
	if msg.Total <= h.held {
		b.used -= h.held - msg.Total
		h.held = msg.Total
		if h.held == 0 {
			delete(b.holders, msg.ID)
		}
		if waited {
			return []Cmd{GrantCmd{ID: msg.ID}}
		}
		return nil
	}
	h.waits, h.since, h.complete = true, since, false
	b.order++
	w := waiter{id: msg.ID, total: msg.Total, order: b.order}
	at, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, at, w)
	return nil
}

// compareWaiters puts the smallest total first, which is max-min fairness over
// connections, and the longest wait first among equal ones.
func compareWaiters(a, b waiter) int {
	return cmp.Or(cmp.Compare(a.total, b.total), cmp.Compare(a.order, b.order))
}

// grant charges the connections that wait, as long as they fit.
func (b Budget) grant(cmds []Cmd) (Budget, []Cmd) {
	granted := 0
	for _, w := range b.waiting {
		h := b.holders[w.id]
		if b.used+w.total-h.held > b.cfg.Capacity {
			break
		}
		b.used += w.total - h.held
		h.held, h.waits = w.total, false
		cmds = append(cmds, GrantCmd{ID: w.id})
		granted++
	}
	b.waiting = slices.Delete(b.waiting, 0, granted)
	return b, cmds
}

// drop removes a connection with its charge.
func (b *Budget) drop(id uint64) {
	h := b.holders[id]
	if h == nil {
		return
	}
	b.used -= h.held
	if h.waits {
		b.stopWaiting(id)
	}
	delete(b.holders, id)
}

func (b *Budget) stopWaiting(id uint64) {
	if h := b.holders[id]; h != nil {
		h.waits = false
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(w waiter) bool { return w.id == id })
}

// expire closes a connection in favor of one that has waited for the whole patience: the
// one that waits if it holds more than a fair share itself, or else the one whose
// incomplete head holds most. A request that runs is never closed.
func (b Budget) expire(msg OverdueMsg) (Budget, []Cmd) {
	h := b.holders[msg.ID]
	if h == nil || !h.waits || msg.At-h.since < b.cfg.Patience {
		return b, nil
	}
	closed, held := msg.ID, h.held
	if held <= b.cfg.Capacity/int64(len(b.holders)) {
		if b.searchedAt > 0 && msg.At-b.searchedAt < b.cfg.Patience/_searchesPerPatience {
			return b, nil
		}
		b.searchedAt = msg.At
		for id, other := range b.holders {
			if !other.complete && other.held > held {
				closed, held = id, other.held
			}
		}
	}
	h.since = msg.At
	b.drop(closed)
	return b.grant([]Cmd{CloseCmd{ID: closed, Held: held}})
}
