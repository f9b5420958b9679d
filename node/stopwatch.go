package node

import "time"

// stopwatch measures the time that a request waits for its instance. It is stopped
// while the request waits for its caller.
type stopwatch struct {
	accumulated time.Duration
	startedAt   time.Duration
	running     bool
}

func (w stopwatch) start(at time.Duration) stopwatch {
	if !w.running {
		w.startedAt = at
		w.running = true
	}
	return w
}

func (w stopwatch) stop(at time.Duration) stopwatch {
	w.accumulated = w.elapsed(at)
	w.running = false
	return w
}

func (w stopwatch) elapsed(at time.Duration) time.Duration {
	if !w.running {
		return w.accumulated
	}
	return w.accumulated + at - w.startedAt
}
