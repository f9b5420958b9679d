package route

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// TestExplore sends requests to two instances, one of which was slow for a
// moment: it is used again once it is well, and hardly while it is not.
func TestExplore(t *testing.T) {
	const (
		well     = 2 * time.Millisecond
		requests = 20000
	)
	cases := []struct {
		name        string
		slow        time.Duration
		slowFor     int
		least, most float64 // share of the second half of the requests
	}{
		{"slow once", 100 * time.Millisecond, 10, 0.25, 0.75},
		{"slow for a while", 100 * time.Millisecond, requests / 4, 0.25, 0.75},
		{"straggler at 3x", 3 * well, requests, 0, 0.01},
		{"straggler at 50x", 50 * well, requests, 0, 0.01},
	}
	for _, c := range cases {
		for _, rate := range []time.Duration{1, 40, 1000} {
			b := NewBook()
			p := Pool{Slots: 4, Near: 2, Candidates: []Candidate{{Key: view.Key{ID: "a"}}, {Key: view.Key{ID: "b"}}}}
			share := 0.0
			for n := range requests {
				at := time.Duration(n) * time.Second / rate
				choice, _ := Choose(p, b, Request{At: at, Random: draw(n)})
				took := well + time.Duration(draw(-n)%uint64(well/2))
				if choice.Candidate.Key.ID == "a" {
					if n < c.slowFor {
						took = c.slow
					}
					if n >= requests/2 {
						share += 2.0 / requests
					}
				}
				b.Change(choice.Candidate.Key, func(l *Load) { *l = l.WithTook(at, took) })
			}
			t.Logf("%s, %d requests/s: %.4f of the requests", c.name, rate, share)
			if share < c.least || share > c.most {
				t.Errorf("%s, %d requests/s: %.4f of the requests, want %.2f to %.2f", c.name, rate, share, c.least, c.most)
			}
		}
	}
}

// draw spreads a counter over 64 bits.
func draw(n int) uint64 {
	x := uint64(n+1) * 0x9E3779B97F4A7C15
	x ^= x >> 31
	x *= 0xBF58476D1CE4E5B9
	return x ^ x>>29
}
