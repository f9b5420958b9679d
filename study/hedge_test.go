package study

import (
	"testing"
	"time"
)

// TestHedge checks that hedging stays within the budget of 1.1 attempts per
// request and lowers the p99 latency.
func TestHedge(t *testing.T) {
	const maxAttempts = 1.1001
	cases := []struct {
		name   string
		stalls float64
		factor float64
	}{
		{"one instance stalls a fifth", 0.2, 30},
		{"one instance stalls half", 0.5, 10},
		{"one instance stalls all", 1, 10},
	}
	for _, c := range cases {
		cfg := HedgeConfig{
			Requests: 100000, Instances: 8, Median: 20 * time.Millisecond, Spread: 0.5,
			StallRate: c.stalls, StallFactor: c.factor, Seed: 1,
		}
		with := Hedge(cfg)
		cfg.Disabled = true
		without := Hedge(cfg)
		t.Logf("%s: p99 %v without, %v with, %.3f attempts", c.name, without.P99, with.P99, with.Attempts)
		if with.Attempts > maxAttempts {
			t.Errorf("%s: %.4f attempts per request, limit 1.1", c.name, with.Attempts)
		}
		if with.P99 >= without.P99 {
			t.Errorf("%s: p99 is %v with hedging, %v without", c.name, with.P99, without.P99)
		}
	}
}
