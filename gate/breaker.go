package gate

import "time"

// breaker is the circuit breaker of an instance that has failed recently; it
// keeps queued attempts from starting.
type breaker struct {
	probeAt time.Duration // one attempt may probe the instance from then on
	until   time.Duration // closes at this time
	probed  bool
}

// open reports whether the breaker is open.
func (b breaker) open(at time.Duration) bool {
	return at < b.until
}

// allows reports whether a queued attempt may start.
func (b breaker) allows(w *waiter, at time.Duration) bool {
	if !b.open(at) || w.bypassBreaker {
		return true
	}
	return !w.noProbe && !b.probed && at >= b.probeAt
}

// setBreaker opens or closes an instance's breaker.
func (m Model) setBreaker(msg BreakerMsg) []Cmd {
	i := m.instances[msg.ID]
	if i == nil {
		return nil
	}
	i.breaker = breaker{probeAt: msg.ProbeAt, until: msg.Until}
	var cmds []Cmd
	if msg.RefuseQueued {
		for _, w := range i.queue.retain(func(w *waiter) bool { return w.bypassBreaker }) {
			cmds = append(cmds, m.refuse(w.ref, RecentFailures, msg.At)...)
		}
	}
	return append(cmds, m.fill(i, msg.At)...)
}
