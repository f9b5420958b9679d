package node

import "time"

const (
	// _nestedFailureWindow is how long after a failed nested call a failure of the
	// instance is attributed to it. An instance whose nested call fails gives up at
	// once.
	_nestedFailureWindow = 300 * time.Millisecond
	_maxNestedFailures   = 64
)

// nestedFailures holds the times of recently failed calls that this host's instance
// made to other services. Each explains one failure of the instance.
type nestedFailures struct {
	times []time.Duration
}

// add records a failed call.
func (f *nestedFailures) add(at time.Duration) {
	if len(f.times) < _maxNestedFailures {
		f.times = append(f.times, at)
	}
}

// take reports whether a failed call explains a failure at the given time, and removes
// that call.
func (f *nestedFailures) take(at time.Duration) bool {
	for len(f.times) > 0 {
		first := f.times[0]
		f.times = f.times[1:]
		if at < first+_nestedFailureWindow {
			return true
		}
	}
	return false
}

// recordNestedFailure records that a request from this host to another service failed.
// The instance on this host may have made it as a nested call.
func (s *Server) recordNestedFailure(service string) {
	if s.cfg.Settings.Service == "" || service == s.cfg.Settings.Service {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nestedFailures.add(s.now())
}
