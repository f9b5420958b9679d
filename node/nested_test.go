package node

import (
	"testing"
	"time"
)

// TestNestedFailures checks that a failed nested call explains one failure, and only
// within _nestedFailureWindow.
func TestNestedFailures(t *testing.T) {
	var f nestedFailures
	if f.take(0) {
		t.Error("failure explained without a failed call")
	}
	f.add(time.Second)
	f.add(time.Second)
	for n, want := range []bool{true, true, false} {
		if got := f.take(time.Second + _nestedFailureWindow/2); got != want {
			t.Errorf("failure %d after two failed calls: explained %v", n+1, got)
		}
	}
	f.add(time.Second)
	if f.take(time.Second + _nestedFailureWindow) {
		t.Error("failure explained by an expired call")
	}
}

// TestShortDeadline checks which requests ended too early to count against their
// instance: the caller allowed less time than such requests occasionally take.
func TestShortDeadline(t *testing.T) {
	cases := []struct {
		usual, took time.Duration
		want        bool
	}{
		{0, time.Second, false},
		{500 * time.Millisecond, time.Second, true},
		{100 * time.Millisecond, time.Second, false},
	}
	for _, c := range cases {
		now := time.Duration(0)
		w := newWork(0, time.Minute, func() time.Duration { return now })
		w.typicalTime = c.usual
		now = c.took
		if got := w.hadShortDeadline(); got != c.want {
			t.Errorf("usual %v, took %v: %v", c.usual, c.took, got)
		}
	}
}
