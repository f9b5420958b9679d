package retry

import (
	"testing"
	"time"
)

// TestRetryAmplification checks that there are at most 1.1 attempts per request when
// every attempt fails.
func TestRetryAmplification(t *testing.T) {
	const requests = 100000
	var b Budget
	attempts := 0
	for range requests {
		b = b.AddRequest(DefaultQuota(), 0)
		attempts++
		for n := 1; Decide(Attempt{Execution: NotExecuted, Replayable: true, Attempts: n, TimeLeft: time.Second}).Retry; n++ {
			next, ok := b.TakeRetry(DefaultQuota(), 0)
			b = next
			if !ok {
				break
			}
			attempts++
		}
	}
	if got := float64(attempts) / requests; got > 1.1001 {
		t.Errorf("%.4f attempts per request, limit 1.1", got)
	}
}

// TestDecide checks when an attempt may be retried.
func TestDecide(t *testing.T) {
	ready := Attempt{Execution: NotExecuted, Replayable: true, Attempts: 1, TimeLeft: time.Second}
	cases := []struct {
		name string
		edit func(a *Attempt)
		want bool
	}{
		{"not executed, idempotent", func(*Attempt) {}, true},
		{"not executed, not idempotent", func(a *Attempt) { a.Once = true }, true},
		{"unknown, idempotent", func(a *Attempt) { a.Execution = Unknown }, true},
		{"unknown, not idempotent", func(a *Attempt) { a.Execution, a.Once = Unknown, true }, false},
		{"executed", func(a *Attempt) { a.Execution = Executed }, false},
		{"body not replayable", func(a *Attempt) { a.Replayable = false }, false},
		{"too many attempts", func(a *Attempt) { a.Attempts = _maxAttempts }, false},
		{"no time left", func(a *Attempt) { a.TimeLeft = time.Millisecond }, false},
	}
	for _, c := range cases {
		a := ready
		c.edit(&a)
		if got := Decide(a); got.Retry != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
