package access

import "time"

// _leaseShare is the part of the revocation time for which a node honours keys after its
// plan was last known to be current. The rest covers the drift of clocks.
const _leaseShare = 0.95

// Lease is a node's right to honour keys. Times are readings of a clock that counts the
// time for which the machine is suspended. The zero value never expires.
type Lease struct {
	duration  time.Duration // 0 for no expiry
	confirmed time.Duration // when the plan was last known to be current
	known     bool          // it has been confirmed at least once
}

// NewLease returns a lease that has not been confirmed. A withdrawn key stops working
// within the revocation time, at every node; 0 stands for no bound.
func NewLease(revocation time.Duration) Lease {
	return Lease{duration: time.Duration(_leaseShare * float64(revocation))}
}

// Bounded reports whether the lease expires without confirmation.
func (l Lease) Bounded() bool {
	return l.duration > 0
}

// WithConfirmation returns the lease after the leader has confirmed, in reply to a question
// sent at this time, that the node's plan is the latest. What the leader said then contains
// each change that was accepted before.
func (l Lease) WithConfirmation(sentAt time.Duration) Lease {
	if !l.known || sentAt > l.confirmed {
		l.confirmed, l.known = sentAt, true
	}
	return l
}

// Valid reports whether the node may honour keys.
func (l Lease) Valid(at time.Duration) bool {
	return !l.Bounded() || l.known && at < l.confirmed+l.duration
}

// Age returns how long ago the plan was known to be current, and whether it ever was.
func (l Lease) Age(at time.Duration) (time.Duration, bool) {
	return at - l.confirmed, l.known
}
