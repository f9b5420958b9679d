package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestStayAway lists how long an ingress asks elsewhere after an owner refused.
func TestStayAway(t *testing.T) {
	cases := []struct {
		name   string
		reason string
		again  string
		want   time.Duration
	}{
		{"failed lately, as the owner says", string(gate.RecentFailures), "1200", 1200 * time.Millisecond},
		{"failed lately, longer than is believed", string(gate.RecentFailures), "86400000", _mostAway},
		{"failed lately, an earlier version", string(gate.RecentFailures), "", _doubtBlock},
		{"stopping", _reasonStop, "", _stopAway},
		{"no such instance there", string(gate.NoInstance), "", _absentAway},
		{"full", string(gate.Full), "", 0},
	}
	for _, c := range cases {
		key := view.Key{Node: "n", ID: "i"}
		s := &Server{start: time.Now()}
		e := &exchange{server: s, service: &service{loads: route.NewLoadTracker()}}
		res := &result{
			reason: c.reason, fate: retry.NotExecuted, started: time.Now(),
			choice:   route.Choice{Candidate: route.Candidate{Key: key}},
			response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}},
		}
		if c.again != "" {
			res.response.Header.Set(_headerAgain, c.again)
		}
		e.note(res)
		got := e.service.loads.Load(key).RefusesUntil
		if got > 0 {
			got -= s.now()
		}
		if got > c.want || got < c.want-100*time.Millisecond {
			t.Errorf("%s: stays away for %v, want %v", c.name, got, c.want)
		}
	}
}
