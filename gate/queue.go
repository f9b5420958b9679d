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

	at       time.Duration // of its arrival
	priority int
	customer string
	tag      int // start tag of its customer's next attempt when it was queued, and then when it starts
}

// Ranks order the attempts of a priority, lower first.
const (
	_rankNested = iota
	_rankInTime
	_rankLate
)

// rank returns the attempt's rank: calls go first, and attempts that have passed their
// target start go last.
func (w *waiter) rank(at time.Duration) int {
	switch {
	case w.nested:
		return _rankNested
	case w.targetStart > 0 && w.targetStart <= at:
		return _rankLate
	}
	return _rankInTime
}

// queue serves priorities in order, the customers of a priority by their start tags,
// the callers of a customer round robin, and each caller's attempts by their target
// start. Attempts without a customer count as one customer together.
type queue struct {
	levels []level
	n      int
}

// level holds the queued attempts of one priority.
type level struct {
	priority int
	flows    []flow // the one that was served last is last
}

// callerQueue holds the queued attempts of one caller.
type callerQueue struct {
	caller  string
	waiters []waiter
}

// newcomer is an attempt that is not queued yet. It is valid until the queue changes.
type newcomer struct {
	priority int
	customer string
	nested   bool
	level    *level // of its priority, or nil
	self     int    // index of its customer's flow in the level, or -1
	tag      int    // start tag of its customer's next attempt
	last     int    // its own start tag, behind its customer's queued attempts
}

func (q *queue) len() int {
	return q.n
}

// level returns the level of a priority, or nil if none of its attempts is queued.
func (q *queue) level(priority int) *level {
	for i := range q.levels {
		if q.levels[i].priority == priority {
			return &q.levels[i]
		}
	}
	return nil
}

// countAhead counts the attempts that go before a new one.
func (q *queue) countAhead(n newcomer) int {
	all := func(*waiter) bool { return true }
	return q.countUrgent(n) + q.countFair(n, all, all)
}

// countAheadOfTarget counts the attempts that go before a new one with a target start.
func (q *queue) countAheadOfTarget(n newcomer, targetStart, at time.Duration) int {
	return q.countUrgent(n) + q.countFair(n, func(w *waiter) bool {
		return w.nested || w.targetStart > at && w.targetStart <= targetStart
	}, func(w *waiter) bool { return w.rank(at) < _rankLate })
}

// countAheadOfNested counts the attempts that go before a new nested call.
func (q *queue) countAheadOfNested(n newcomer) int {
	nested := func(w *waiter) bool { return w.nested }
	return q.countUrgent(n) + q.countFair(n, nested, nested)
}

// countLate counts the attempts ahead of a new one that have passed their target start,
// or have none; within a customer they are served after all others of a priority.
func (q *queue) countLate(n newcomer, at time.Duration) int {
	late := func(w *waiter) bool { return !w.nested && w.targetStart <= at }
	return q.countFair(n, late, late)
}

// countUrgent counts the attempts of more urgent priorities than a new one's.
func (q *queue) countUrgent(n newcomer) int {
	total := 0
	for i := range q.levels {
		if q.levels[i].priority < n.priority {
			for j := range q.levels[i].flows {
				total += q.levels[i].flows[j].len()
			}
		}
	}
	return total
}

// countFair counts the matching attempts of a new one's customer, and those of other
// customers of its priority whose start tags are not behind it.
func (*queue) countFair(n newcomer, own, others func(*waiter) bool) int {
	l := n.level
	if l == nil {
		return 0
	}
	total := 0
	if n.self >= 0 {
		total = l.flows[n.self].count(own)
	}
	tag := n.tag + total
	for i := range l.flows {
		if f := &l.flows[i]; i != n.self && f.tag <= tag {
			total += min(f.count(others), tag-f.tag+1)
		}
	}
	return total
}

// push queues an attempt. Its tag is the start tag of its customer's next attempt.
func (q *queue) push(caller string, w waiter) {
	q.n++
	at, found := slices.BinarySearchFunc(q.levels, w.priority, func(l level, p int) int { return l.priority - p })
	if !found {
		q.levels = slices.Insert(q.levels, at, level{priority: w.priority})
	}
	l := &q.levels[at]
	i := l.find(w.customer)
	if i < 0 {
		i = len(l.flows)
		l.flows = append(l.flows, flow{customer: w.customer, tag: w.tag})
	}
	l.flows[i].push(caller, w)
}

// pop removes the next eligible attempt: from the first priority that has one.
func (q *queue) pop(at time.Duration, eligible func(*waiter) bool) (waiter, bool) {
	for i := range q.levels {
		if w, ok := q.levels[i].pop(at, eligible); ok {
			q.n--
			q.levels = slices.DeleteFunc(q.levels, func(l level) bool { return len(l.flows) == 0 })
			return w, true
		}
	}
	return waiter{}, false
}

// pop removes the eligible attempt with the lowest rank, of those the one with the
// lowest start tag.
func (l *level) pop(at time.Duration, eligible func(*waiter) bool) (waiter, bool) {
	fair := len(l.flows) > 1 || l.flows[0].customer != ""
	best, bestCaller, bestNext, bestRank := -1, 0, 0, 0
	for i := range l.flows {
		f := &l.flows[i]
		if best >= 0 && f.tag >= l.flows[best].tag && (bestRank == _rankNested || bestRank == _rankInTime && f.nested == 0) {
			continue
		}
		caller, next := f.next(at, eligible, fair)
		if next < 0 {
			continue
		}
		rank := f.callers[caller].waiters[next].rank(at)
		if best < 0 || rank < bestRank || rank == bestRank && f.tag < l.flows[best].tag {
			best, bestCaller, bestNext, bestRank = i, caller, next, rank
		}
	}
	if best < 0 {
		return waiter{}, false
	}
	f := l.flows[best]
	w := f.take(bestCaller, bestNext)
	l.flows = slices.Delete(l.flows, best, best+1)
	if len(f.callers) > 0 {
		l.flows = append(l.flows, f)
	}
	return w, true
}

// evict removes an attempt of the last level to make room for a new one: the newest of
// the customer that exceeds its share most, and of its caller with the longest queue. It
// does so only if that level has a lower priority, or if it has the same priority and the
// attempt would start after the new one.
func (q *queue) evict(n newcomer, caller string) (waiter, bool) {
	if len(q.levels) == 0 {
		return waiter{}, false
	}
	last := &q.levels[len(q.levels)-1]
	if last.priority < n.priority {
		return waiter{}, false
	}
	victim := last.exceeding()
	if last.priority == n.priority && !last.yields(victim, n, caller) {
		return waiter{}, false
	}
	waiters := victim.callers[victim.longest()].waiters
	w := waiters[len(waiters)-1]
	q.remove(w.ref)
	return w, true
}

// exceeding returns the flow whose last attempt has the highest start tag.
func (l *level) exceeding() *flow {
	most := &l.flows[0]
	for i := range l.flows[1:] {
		if f := &l.flows[i+1]; f.lastTag() > most.lastTag() {
			most = f
		}
	}
	return most
}

// yields reports whether the victim's last attempt makes room for a new attempt of the
// same priority. Within a customer the callers' queues are compared by length.
func (*level) yields(victim *flow, n newcomer, caller string) bool {
	if victim.customer == n.customer {
		return len(victim.callers[victim.longest()].waiters) > victim.queuedOf(caller)+1
	}
	return victim.lastTag() > n.last
}

func (q *queue) remove(ref ledger.Ref) {
	q.retain(func(w *waiter) bool { return w.ref != ref })
}

// removeExpired removes and returns the attempts that can no longer start.
func (q *queue) removeExpired(at time.Duration) []waiter {
	return q.retain(func(w *waiter) bool { return at < w.startBy })
}

// retain removes and returns the attempts that do not match.
func (q *queue) retain(match func(*waiter) bool) []waiter {
	var dropped []waiter
	for i := range q.levels {
		dropped = append(dropped, q.levels[i].retain(match)...)
	}
	q.n -= len(dropped)
	q.levels = slices.DeleteFunc(q.levels, func(l level) bool { return len(l.flows) == 0 })
	return dropped
}

func (l *level) retain(match func(*waiter) bool) []waiter {
	var dropped []waiter
	for i := range l.flows {
		dropped = append(dropped, l.flows[i].retain(match)...)
	}
	l.flows = slices.DeleteFunc(l.flows, func(f flow) bool { return len(f.callers) == 0 })
	return dropped
}

func (l *level) find(customer string) int {
	for i := range l.flows {
		if l.flows[i].customer == customer {
			return i
		}
	}
	return -1
}
