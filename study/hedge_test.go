package study

import (
	"testing"
	"time"
)

// TestHedge holds second attempts to the budget of 1.1 attempts a request, and
// to being of use: 99 in 100 requests end sooner with them than without.
func TestHedge(t *testing.T) {
	const most = 1.1001
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
			Stalls: c.stalls, Factor: c.factor, Seed: 1,
		}
		with := Hedge(cfg)
		cfg.Off = true
		without := Hedge(cfg)
		t.Logf("%s: p99 %v without, %v with, %.3f attempts", c.name, without.P99, with.P99, with.Attempts)
		if with.Attempts > most {
			t.Errorf("%s: %.4f attempts a request, limit 1.1", c.name, with.Attempts)
		}
		if with.P99 >= without.P99 {
			t.Errorf("%s: 99 in 100 end in %v, %v without", c.name, with.P99, without.P99)
		}
	}
}
