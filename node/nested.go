package node

import (
	"slices"
	"time"
)

const (
	// _nestedFailureWindow is how long after a failed nested call a failure of the
	// instance is attributed to it. An instance whose nested call fails gives up at
	// once.
	_nestedFailureWindow = 300 * time.Millisecond
	_maxNestedFailures   = 64
)

// nestedFailure is a failed call, which lasted from startedAt until at.
type nestedFailure struct {
	startedAt, at time.Duration
}

// nestedFailures holds the recently failed calls that this host's instance may have made to
// other services. Each explains one failure of the instance.
type nestedFailures struct {
	calls []nestedFailure
}

// add records a failed call.
func (f *nestedFailures) add(call nestedFailure) {
	if len(f.calls) < _maxNestedFailures {
		f.calls = append(f.calls, call)
	}
}

// take reports whether a failed call explains that a request failed at a time, which the
// instance began at startedAt, and removes that call. The instance has made the call while
// it ran the request.
func (f *nestedFailures) take(startedAt, at time.Duration) bool {
	f.calls = slices.DeleteFunc(f.calls, func(c nestedFailure) bool { return at >= c.at+_nestedFailureWindow })
	n := slices.IndexFunc(f.calls, func(c nestedFailure) bool { return c.startedAt >= startedAt })
	if n < 0 {
		return false
	}
	f.calls = slices.Delete(f.calls, n, n+1)
	return true
}

// recordNestedFailure records that a request from this host to another service failed.
// The instance on this host may have made it as a nested call.
func (s *Server) recordNestedFailure(service string, startedAt time.Time) {
	if s.cfg.Settings.Service == "" || service == s.cfg.Settings.Service {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nestedFailures.add(nestedFailure{startedAt: startedAt.Sub(s.start), at: s.now()})
}
