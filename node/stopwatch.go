package node

import "time"

// stopwatch runs while a request waits for its instance, and stands still
// while it waits for its caller.
type stopwatch struct {
	ran     time.Duration
	from    time.Duration
	running bool
}

func (w stopwatch) start(at time.Duration) stopwatch {
	if !w.running {
		w.from = at
		w.running = true
	}
	return w
}

func (w stopwatch) stop(at time.Duration) stopwatch {
	w.ran = w.elapsed(at)
	w.running = false
	return w
}

func (w stopwatch) elapsed(at time.Duration) time.Duration {
	if !w.running {
		return w.ran
	}
	return w.ran + at - w.from
}
