package node

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestEjectionEndedByArbiter checks that an owner returns an ejected instance to
// service once a view as new as the grant no longer lists it, and not before.
func TestEjectionEndedByArbiter(t *testing.T) {
	const granted = 7
	cases := []struct {
		name    string
		rev     uint64
		ejected bool
		want    bool // whether the instance is still out of service
	}{
		{"older view", granted - 1, false, true},
		{"view of the grant", granted, true, true},
		{"later view without the ejection", granted + 1, false, false},
	}
	for _, c := range cases {
		s := newReportServer(t)
		s.registerInstance(view.Instance{ID: "i-1", Service: "lookup", Addr: "127.0.0.1:1", Slots: 1}, time.Minute)
		b := s.backends["i-1"]
		for range 100 {
			b.health, _ = b.health.Update(detect.ResultMsg{At: s.now(), Failed: true})
		}
		b.health, _ = b.health.Update(detect.GrantMsg{At: s.now()})
		b.ejectedRev = granted
		v := view.New()
		if c.ejected {
			v.Apply(view.Event{Rev: c.rev, Change: view.InstanceEjected{Key: s.keyOf(b)}})
		}
		v.Rev = c.rev
		s.endEjections(v)
		if got := b.health.Ejected(); got != c.want {
			t.Errorf("%s: ejected %t, want %t", c.name, got, c.want)
		}
	}
}
