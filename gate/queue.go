package gate

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// waiter is an attempt that waits for a slot.
type waiter struct {
	ref   ledger.Ref
	until time.Duration
}

// queue serves callers in turn, each one's attempts in order.
type queue struct {
	turns []turn
	n     int
}

// turn is one caller's waiting attempts.
type turn struct {
	caller  string
	waiters []waiter
}

func (q *queue) len() int {
	return q.n
}

func (q *queue) push(caller string, w waiter) {
	q.n++
	i := q.find(caller)
	if i < 0 {
		q.turns = append(q.turns, turn{caller: caller, waiters: []waiter{w}})
		return
	}
	q.turns[i].waiters = append(q.turns[i].waiters, w)
}

// pop takes the oldest attempt of the caller whose turn it is.
func (q *queue) pop() (waiter, bool) {
	if len(q.turns) == 0 {
		return waiter{}, false
	}
	t := q.turns[0]
	w := t.waiters[0]
	q.n--
	q.turns = slices.Delete(q.turns, 0, 1)
	if len(t.waiters) > 1 {
		q.turns = append(q.turns, turn{caller: t.caller, waiters: t.waiters[1:]})
	}
	return w, true
}

// yield takes the newest attempt of the caller with the most, if that caller
// has more waiting than the one who asks.
func (q *queue) yield(caller string) (waiter, bool) {
	most := -1
	for i, t := range q.turns {
		if most < 0 || len(t.waiters) > len(q.turns[most].waiters) {
			most = i
		}
	}
	own := 0
	if i := q.find(caller); i >= 0 {
		own = len(q.turns[i].waiters)
	}
	if most < 0 || len(q.turns[most].waiters) <= own+1 {
		return waiter{}, false
	}
	waiters := q.turns[most].waiters
	w := waiters[len(waiters)-1]
	q.remove(w.ref)
	return w, true
}

func (q *queue) remove(ref ledger.Ref) {
	q.keep(func(w waiter) bool { return w.ref != ref })
}

// late takes the attempts whose time is up.
func (q *queue) late(at time.Duration) []waiter {
	return q.keep(func(w waiter) bool { return at < w.until })
}

// keep drops the attempts that the condition does not hold for.
func (q *queue) keep(holds func(waiter) bool) []waiter {
	var dropped []waiter
	for i := range q.turns {
		t := &q.turns[i]
		t.waiters = slices.DeleteFunc(t.waiters, func(w waiter) bool {
			if holds(w) {
				return false
			}
			dropped = append(dropped, w)
			return true
		})
	}
	q.n -= len(dropped)
	q.turns = slices.DeleteFunc(q.turns, func(t turn) bool { return len(t.waiters) == 0 })
	return dropped
}

func (q *queue) find(caller string) int {
	return slices.IndexFunc(q.turns, func(t turn) bool { return t.caller == caller })
}
