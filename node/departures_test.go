package node

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestDepartures guards against an instance that comes back by its owner's restart, and
// against one that is kept out after it has started again under its ID.
func TestDepartures(t *testing.T) {
	left := route.Candidate{Key: view.Key{Node: "n1", ID: "i1"}, Epoch: 3, Born: 7}
	tests := []struct {
		name string
		c    route.Candidate
		want bool
	}{
		{"the same start", left, true},
		{"the same start at a restarted owner", route.Candidate{Key: left.Key, Epoch: 4, Born: 7}, true},
		{"started again", route.Candidate{Key: left.Key, Epoch: 4, Born: 8}, false},
		{"another instance", route.Candidate{Key: view.Key{Node: "n1", ID: "i2"}, Born: 7}, false},
	}
	var none departures
	d := none.with(left, time.Second)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := d.exclude([]route.Candidate{test.c})[0].Excluded; got != test.want {
				t.Errorf("excluded: %t, want %t", got, test.want)
			}
		})
	}
	if kept := d.with(tests[3].c, time.Second+_departureMemory); len(kept) != 1 {
		t.Errorf("%d departures are remembered, want 1", len(kept))
	}
	if list := none.exclude([]route.Candidate{left}); list[0].Excluded {
		t.Error("excluded without any departure")
	}
}
