package retry

import (
	"testing"
	"time"
)

// TestHedgeAfter lists which attempts may have a second one beside them.
func TestHedgeAfter(t *testing.T) {
	const median = 20 * time.Millisecond
	ready := Attempt{Replayable: true, Tries: 1, Left: time.Second}
	cases := []struct {
		name   string
		edit   func(a *Attempt)
		median time.Duration
		want   time.Duration
	}{
		{"idempotent", func(*Attempt) {}, median, 3 * median},
		{"quick service", func(*Attempt) {}, time.Millisecond, 16 * time.Millisecond},
		{"once", func(a *Attempt) { a.Once = true }, median, 0},
		{"body gone", func(a *Attempt) { a.Replayable = false }, median, 0},
		{"too many tries", func(a *Attempt) { a.Tries = _maxTries }, median, 0},
		{"deadline near", func(a *Attempt) { a.Left = 3 * median }, median, 0},
		{"nothing known", func(*Attempt) {}, 0, 0},
	}
	for _, c := range cases {
		a := ready
		c.edit(&a)
		got, ok := HedgeAfter(a, c.median)
		if ok != (c.want > 0) || ok && got != c.want {
			t.Errorf("%s: %v, %v", c.name, got, ok)
		}
	}
}
