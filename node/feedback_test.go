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

// TestRefusalTime checks how long an ingress skips an instance after its owner refused
// an attempt, by the reason for the refusal.
func TestRefusalTime(t *testing.T) {
	cases := []struct {
		name   string
		reason string
		header string // _headerRefusesFor of the response
		want   time.Duration
	}{
		{"recent failures, duration from the owner", string(gate.RecentFailures), "1200", 1200 * time.Millisecond},
		{"recent failures, duration above the limit", string(gate.RecentFailures), "86400000", _maxRefusalTime},
		{"recent failures, owner of an earlier version", string(gate.RecentFailures), "", _defaultRefusalTime},
		{"stopping", _reasonStop, "", _stoppingRefusalTime},
		{"unknown instance", string(gate.UnknownInstance), "", _unknownInstanceRefusalTime},
		{"full", string(gate.Full), "", 0},
		{"limited, duration from the owner", string(gate.Limited), "400", 400 * time.Millisecond},
	}
	for _, c := range cases {
		key := view.Key{Node: "n", ID: "i"}
		s := &Server{start: time.Now()}
		e := &exchange{server: s, service: &service{loads: route.NewLoadTracker()}}
		res := &attemptResult{
			reason: c.reason, execution: retry.NotExecuted, startedAt: time.Now(),
			choice:   route.Choice{Candidate: route.Candidate{Key: key}},
			response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}},
		}
		if c.header != "" {
			res.response.Header.Set(_headerRefusesFor, c.header)
		}
		e.recordLoad(res)
		got := e.service.loads.Load(key).RefusesUntil
		if got > 0 {
			got -= s.now()
		}
		if got > c.want || got < c.want-100*time.Millisecond {
			t.Errorf("%s: skipped for %v, want %v", c.name, got, c.want)
		}
	}
}
