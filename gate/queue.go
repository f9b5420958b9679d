package gate

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// waiter is a queued attempt.
type waiter struct {
	ref         ledger.Ref
	startBy     time.Duration // refused from then on
	targetStart time.Duration // latest start that meets the latency target, 0 for none

	noProbe       bool // must not probe an instance whose breaker is open
	bypassBreaker bool // starts regardless of the breaker
	nested        bool // a request elsewhere holds a slot meanwhile
}

// queue serves priorities in order, the callers of a priority round robin, and
// each caller's attempts by their target start.
type queue struct {
	levels []level
	n      int
}

// level holds the queued attempts of one priority.
type level struct {
	priority int
	callers  []callerQueue
}

// callerQueue holds the queued attempts of one caller.
type callerQueue struct {
	caller  string
	waiters []waiter
}

func (q *queue) len() int {
	return q.n
}

// countAhead counts the attempts that go before a new one of a priority.
func (q *queue) countAhead(priority int) int {
	return q.count(func(l level, _ waiter) bool { return l.priority <= priority })
}

// countAheadOfTarget counts the attempts that go before a new one of a priority
// with a target start.
func (q *queue) countAheadOfTarget(priority int, targetStart, at time.Duration) int {
	return q.count(func(l level, w waiter) bool {
		return l.priority < priority || l.priority == priority && (w.nested || w.targetStart > at && w.targetStart <= targetStart)
	})
}

// countAheadOfNested counts the attempts that go before a new nested call of a
// priority.
func (q *queue) countAheadOfNested(priority int) int {
	return q.count(func(l level, w waiter) bool {
		return l.priority < priority || l.priority == priority && w.nested
	})
}

// countLate counts the attempts of a priority that have passed their target
// start, or have none; they are served after all others of that priority.
func (q *queue) countLate(priority int, at time.Duration) int {
	return q.count(func(l level, w waiter) bool { return l.priority == priority && !w.nested && w.targetStart <= at })
}

func (q *queue) count(match func(level, waiter) bool) int {
	n := 0
	for _, l := range q.levels {
		for _, c := range l.callers {
			for _, w := range c.waiters {
				if match(l, w) {
					n++
				}
			}
		}
	}
	return n
}

func (q *queue) push(priority int, caller string, w waiter) {
	q.n++
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l level, p int) int { return l.priority - p })
	if !found {
		q.levels = slices.Insert(q.levels, at, level{priority: priority})
	}
	l := &q.levels[at]
	i := l.find(caller)
	if i < 0 {
		l.callers = append(l.callers, callerQueue{caller: caller, waiters: []waiter{w}})
		return
	}
	l.callers[i].waiters = append(l.callers[i].waiters, w)
}

// pop removes the next eligible attempt: from the first priority that has one,
// of the first caller in the round robin that has one.
func (q *queue) pop(at time.Duration, eligible func(waiter) bool) (waiter, bool) {
	for i := range q.levels {
		if w, ok := q.levels[i].pop(at, eligible); ok {
			q.n--
			q.levels = slices.DeleteFunc(q.levels, func(l level) bool { return len(l.callers) == 0 })
			return w, true
		}
	}
	return waiter{}, false
}

func (l *level) pop(at time.Duration, eligible func(waiter) bool) (waiter, bool) {
	for i, c := range l.callers {
		next := c.next(at, eligible)
		if next < 0 {
			continue
		}
		w := c.waiters[next]
		c.waiters = slices.Delete(c.waiters, next, next+1)
		l.callers = slices.Delete(l.callers, i, i+1)
		if len(c.waiters) > 0 {
			l.callers = append(l.callers, c)
		}
		return w, true
	}
	return waiter{}, false
}

// next returns the index of the next eligible attempt: the first nested call, or
// else the one with the earliest target start ahead, or else the first late one,
// or -1.
func (c callerQueue) next(at time.Duration, eligible func(waiter) bool) int {
	best, late := -1, -1
	for i, w := range c.waiters {
		switch {
		case !eligible(w):
		case w.nested:
			return i
		case w.targetStart <= at && late < 0:
			late = i
		case w.targetStart > at && (best < 0 || w.targetStart < c.waiters[best].targetStart):
			best = i
		}
	}
	if best < 0 {
		return late
	}
	return best
}

// evict removes the newest attempt of the caller with the longest queue in the
// last level, to make room for a new attempt of a caller. It does so only if
// that level has a lower priority, or if it has the same priority and its longest
// queue exceeds the new caller's by more than one.
func (q *queue) evict(priority int, caller string) (waiter, bool) {
	if len(q.levels) == 0 {
		return waiter{}, false
	}
	last := q.levels[len(q.levels)-1]
	most, own := -1, 0
	for i, c := range last.callers {
		if most < 0 || len(c.waiters) > len(last.callers[most].waiters) {
			most = i
		}
		if c.caller == caller && last.priority == priority {
			own = len(c.waiters)
		}
	}
	fair := last.priority == priority && len(last.callers[most].waiters) > own+1
	if last.priority <= priority && !fair {
		return waiter{}, false
	}
	waiters := last.callers[most].waiters
	w := waiters[len(waiters)-1]
	q.remove(w.ref)
	return w, true
}

func (q *queue) remove(ref ledger.Ref) {
	q.retain(func(w waiter) bool { return w.ref != ref })
}

// removeExpired removes and returns the attempts that can no longer start.
func (q *queue) removeExpired(at time.Duration) []waiter {
	return q.retain(func(w waiter) bool { return at < w.startBy })
}

// retain removes and returns the attempts that do not match.
func (q *queue) retain(match func(waiter) bool) []waiter {
	var dropped []waiter
	for i := range q.levels {
		dropped = append(dropped, q.levels[i].retain(match)...)
	}
	q.n -= len(dropped)
	q.levels = slices.DeleteFunc(q.levels, func(l level) bool { return len(l.callers) == 0 })
	return dropped
}

func (l *level) retain(match func(waiter) bool) []waiter {
	var dropped []waiter
	for i := range l.callers {
		c := &l.callers[i]
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
			if match(w) {
				return false
			}
			dropped = append(dropped, w)
			return true
		})
	}
	l.callers = slices.DeleteFunc(l.callers, func(c callerQueue) bool { return len(c.waiters) == 0 })
	return dropped
}

func (l *level) find(caller string) int {
	return slices.IndexFunc(l.callers, func(c callerQueue) bool { return c.caller == caller })
}
