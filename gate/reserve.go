package gate

import "time"

const (
	// _longCallWait is how long a nested call waits before a slot is kept for calls. If all
	// slots are held by requests that wait for calls themselves, a call waits for one of
	// them to give up.
	_longCallWait = 100 * time.Millisecond
	// _reserveTime is how long the slot is kept.
	_reserveTime = 5 * time.Second
	// _minReserveSlots is the least number of slots of which one is kept.
	_minReserveSlots = 4
)

// reserve keeps one slot free of fresh attempts after a nested call has waited long.
type reserve struct{ until time.Duration }

// withWait returns the reserve after an attempt has waited in the queue.
func (r reserve) withWait(w waiter, at time.Duration) reserve {
	if w.nested && at-w.at >= _longCallWait {
		r.until = at + _reserveTime
	}
	return r
}

// reserves reports whether a slot is kept for calls. It is on instances that serve customers
// only; others are scheduled as before.
func (i *instance) reserves(at time.Duration) bool {
	return at < i.reserve.until && len(i.shares) > 0 && i.slots(at) >= _minReserveSlots
}

// hasSlot reports whether an attempt of a kind may start now.
func (i *instance) hasSlot(nested bool, at time.Duration) bool {
	if !nested && i.reserves(at) {
		return i.running < i.slots(at)-1
	}
	return i.running < i.slots(at)
}

// mayUseReserve reports whether a new call may start although fresh attempts are queued.
func (i *instance) mayUseReserve(n newcomer, at time.Duration) bool {
	return n.nested && i.reserves(at) && i.queue.countAheadOfNested(n) == 0
}
