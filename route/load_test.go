package route

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// TestChooseExploresSlowInstance checks that an instance that was slow for a while
// gets its share of requests again after it recovers, and almost none while it is
// slow.
func TestChooseExploresSlowInstance(t *testing.T) {
	const (
		normal   = 2 * time.Millisecond
		requests = 20000
	)
	cases := []struct {
		name     string
		slow     time.Duration
		slowFor  int
		min, max float64 // share of the second half of the requests
	}{
		{"slow once", 100 * time.Millisecond, 10, 0.25, 0.75},
		{"slow for a while", 100 * time.Millisecond, requests / 4, 0.25, 0.75},
		{"straggler at 3x", 3 * normal, requests, 0, 0.01},
		{"straggler at 50x", 50 * normal, requests, 0, 0.01},
	}
	for _, c := range cases {
		for _, rate := range []time.Duration{1, 40, 1000} {
			loads := NewLoadTracker()
			p := Pool{Slots: 4, LocalCount: 2, Candidates: []Candidate{{Key: view.Key{ID: "a"}}, {Key: view.Key{ID: "b"}}}}
			share := 0.0
			for n := range requests {
				at := time.Duration(n) * time.Second / rate
				choice, _ := Choose(p, loads, Request{At: at, Random: randomBits(n)})
				latency := normal + time.Duration(randomBits(-n)%uint64(normal/2))
				if choice.Candidate.Key.ID == "a" {
					if n < c.slowFor {
						latency = c.slow
					}
					if n >= requests/2 {
						share += 2.0 / requests
					}
				}
				loads.Update(choice.Candidate.Key, func(l *Load) { *l = l.WithLatency(at, latency) })
			}
			t.Logf("%s, %d requests/s: %.4f of the requests", c.name, rate, share)
			if share < c.min || share > c.max {
				t.Errorf("%s, %d requests/s: %.4f of the requests, want %.2f to %.2f", c.name, rate, share, c.min, c.max)
			}
		}
	}
}

// randomBits hashes a counter to 64 bits.
func randomBits(n int) uint64 {
	x := uint64(n+1) * 0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}
