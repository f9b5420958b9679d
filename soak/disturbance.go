package soak

import (
	"sync"
	"time"
)

// faultTracker records when faults are active.
type faultTracker struct {
	mu      sync.Mutex
	active  int       // number of faults that are active
	lastEnd time.Time // when the last fault ended
}

// begin marks a fault as active and returns a function that marks its end.
func (t *faultTracker) begin() func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.active--
		t.lastEnd = time.Now()
	}
}

// noneSince reports whether no fault has been active at or after the time.
func (t *faultTracker) noneSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0 && t.lastEnd.Before(at)
}
