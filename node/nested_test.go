package node

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// TestNestedFailures checks that a failed nested call explains one failure, and only
// within _nestedFailureWindow.
func TestNestedFailures(t *testing.T) {
	var f nestedFailures
	if f.take(0, 0) {
		t.Error("failure explained without a failed call")
	}
	call := nestedFailure{startedAt: time.Second, at: time.Second}
	f.add(call)
	f.add(call)
	for n, want := range []bool{true, true, false} {
		if got := f.take(0, time.Second+_nestedFailureWindow/2); got != want {
			t.Errorf("failure %d after two failed calls: explained %v", n+1, got)
		}
	}
	f.add(call)
	if f.take(0, time.Second+_nestedFailureWindow) {
		t.Error("failure explained by an expired call")
	}
}

// TestNestedFailureOfAnotherCaller guards against an instance that fails quickly and is
// excused by failed requests of other callers on its host: the instance can only have made
// a call that began while it ran the request.
func TestNestedFailureOfAnotherCaller(t *testing.T) {
	const at = 2 * time.Second
	cases := []struct {
		name                          string
		callStarted, callEnded, began time.Duration
		want                          bool
	}{
		{"made by the request", at - 90*time.Millisecond, at - 10*time.Millisecond, at - 100*time.Millisecond, true},
		{"began before the request", at - 150*time.Millisecond, at - 10*time.Millisecond, at - 100*time.Millisecond, false},
		{"ended before the request", at - 150*time.Millisecond, at - 120*time.Millisecond, at - 100*time.Millisecond, false},
	}
	for _, c := range cases {
		var f nestedFailures
		f.add(nestedFailure{startedAt: c.callStarted, at: c.callEnded})
		if got := f.take(c.began, at); got != c.want {
			t.Errorf("%s: explained %v", c.name, got)
		}
	}
}

// TestNestedFailuresAreNoEvidence guards against the ejection of a sound instance whose
// requests fail because a service that they call refuses them: it stayed out of service for
// seconds after that service was well again.
func TestNestedFailuresAreNoEvidence(t *testing.T) {
	const requests = 200
	cases := []struct {
		name      string
		explained int // of ten failures
		want      bool
	}{
		{"all explained by a failed call", 10, false},
		{"none explained", 0, true},
		{"half of them explained", 5, true},
	}
	for _, c := range cases {
		s := newReportServer(t)
		s.cfg.Settings.Service = "lookup"
		sequence := int64(1)
		s.handleReport("i-1", Report{Service: "lookup", Addr: "127.0.0.1:1", Slots: 4, State: Ready, Sequence: &sequence, Born: 1})
		for n := range requests {
			ref := ledger.Ref{Node: "n1", Seq: uint64(n)}
			s.startWork("i-1", ref, 0, 0, "", false)
			if n%10 < c.explained {
				s.recordNestedFailure("issuing", time.Now())
			}
			s.mu.Lock()
			s.backends["i-1"].probeCountedAt = -time.Hour // count each probe
			s.mu.Unlock()
			s.finishWork("i-1", ref, workFailed)
		}
		s.mu.Lock()
		if got := s.backends["i-1"].health.Unhealthy(); got != c.want {
			t.Errorf("%s: unhealthy %t", c.name, got)
		}
		s.mu.Unlock()
	}
}

// TestShortDeadline checks which requests ended too early to count against their
// instance: the caller allowed less time than such requests occasionally take.
func TestShortDeadline(t *testing.T) {
	cases := []struct {
		usual, took time.Duration
		want        bool
	}{
		{0, time.Second, false},
		{500 * time.Millisecond, time.Second, true},
		{100 * time.Millisecond, time.Second, false},
	}
	for _, c := range cases {
		now := time.Duration(0)
		w := newWork(0, time.Minute, func() time.Duration { return now })
		w.typicalTime = c.usual
		now = c.took
		if got := w.hadShortDeadline(); got != c.want {
			t.Errorf("usual %v, took %v: %v", c.usual, c.took, got)
		}
	}
}
