package probe

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

const _timeout = 8 * time.Second

// fakeService is a service that refuses a request for a fixed reason by instance.
type fakeService struct {
	reasons    []RefusalReason
	free       []bool
	skipped    []bool // owners that would refuse or are unreachable
	overloaded bool   // full instances refuse to queue the request
}

// search runs a search against a service until the request is admitted or the
// search ends. It returns how long that took, how many owners were asked, and
// the mode in which the request was admitted, or "" if it was not.
func search(t *testing.T, cfg Config, at func(now time.Duration) fakeService) (time.Duration, int, AdmissionMode) {
	t.Helper()
	m := New(cfg)
	now := cfg.Start
	asked := 0
	for range 1000 {
		var cmd Cmd
		m, cmd = m.Update(NextMsg{At: now})
		for {
			try, ok := cmd.(TryCmd)
			if !ok {
				break
			}
			s := at(now)
			i := pick(s, try, asked)
			if i < 0 {
				m, cmd = m.Update(NoCandidateMsg{At: now, Skipped: slices.Contains(s.skipped, true)})
				continue
			}
			asked++
			now += time.Millisecond
			if s.free[i] || try.Mode == AdmitAny && s.reasons[i] == RecentFailures {
				return now - cfg.Start, asked, try.Mode
			}
			reason := s.reasons[i]
			if reason == Full && try.Mode == AdmitQueued && !s.overloaded {
				now += try.MaxWait
				reason = WaitExpired
			}
			m, _ = m.Update(RefusedMsg{At: now, Key: key(i), Reason: reason, Mode: try.Mode})
			cmd = nil
			break
		}
		switch cmd := cmd.(type) {
		case PauseCmd:
			now += cmd.Delay
		case StopCmd:
			return now - cfg.Start, asked, ""
		}
	}
	t.Fatal("the search does not end")
	return 0, 0, ""
}

// pick returns the first instance that matches, starting elsewhere each time, or -1.
func pick(s fakeService, try TryCmd, from int) int {
	for n := range s.free {
		i := (from + n) % len(s.free)
		skipped := try.Mode != AdmitAny && s.skipped != nil && s.skipped[i]
		if !skipped && !slices.Contains(try.Exclude, key(i)) {
			return i
		}
	}
	return -1
}

func key(i int) view.Key {
	return view.Key{Node: fmt.Sprint("n", i), ID: "i"}
}

func allRefuse(n int, reason RefusalReason) fakeService {
	s := fakeService{reasons: make([]RefusalReason, n), free: make([]bool, n)}
	for i := range s.reasons {
		s.reasons[i] = reason
	}
	return s
}

// TestSearch checks the duration, the number of owners asked and the result of a
// search for typical states of a service under load and faults.
func TestSearch(t *testing.T) {
	full := allRefuse(8, Full)
	oneFree := allRefuse(8, Full)
	oneFree.free[3] = true
	cases := []struct {
		name    string
		noRetry bool
		at      func(now time.Duration) fakeService
		took    [2]time.Duration // min and max
		asked   int              // max
		want    AdmissionMode
	}{
		{
			"one free slot is found by probing", false,
			func(time.Duration) fakeService { return oneFree },
			[2]time.Duration{0, 10 * time.Millisecond},
			_maxProbes, AdmitIfFree,
		},
		{
			"a full service: the search ends while the caller has time to retry", false,
			func(time.Duration) fakeService { return full },
			[2]time.Duration{0, _timeout/2 + 50*time.Millisecond},
			60, "",
		},
		{
			"a slot that becomes free at another owner is found after a few waits", false,
			func(now time.Duration) fakeService {
				if now > time.Second {
					return oneFree
				}
				return full
			},
			[2]time.Duration{time.Second, time.Second + 4*_maxWaitPerOwner + 50*time.Millisecond},
			40, AdmitIfFree,
		},
		{
			"all instances failing: a retryable request is sent at once", false,
			func(time.Duration) fakeService { return allRefuse(8, RecentFailures) },
			[2]time.Duration{0, 50 * time.Millisecond},
			12, AdmitAny,
		},
		{
			"all instances failing: a request without retries waits for a fifth of its timeout", true,
			func(time.Duration) fakeService { return allRefuse(8, RecentFailures) },
			[2]time.Duration{_timeout / 5, _timeout/5 + 300*time.Millisecond},
			100, AdmitAny,
		},
		{
			"all instances known to be failing: no owner is asked twice", false,
			func(time.Duration) fakeService {
				s := allRefuse(8, RecentFailures)
				s.skipped = slices.Repeat([]bool{true}, 8)
				return s
			},
			[2]time.Duration{0, 10 * time.Millisecond},
			1, AdmitAny,
		},
		{
			"the only owner is unreachable: it is still tried", false,
			func(time.Duration) fakeService {
				return fakeService{reasons: []RefusalReason{Full}, free: []bool{true}, skipped: []bool{true}}
			},
			[2]time.Duration{0, 10 * time.Millisecond},
			1, AdmitAny,
		},
		{
			"retry budget exhausted: a few owners are asked", false,
			func(time.Duration) fakeService { return allRefuse(8, BudgetExhausted) },
			[2]time.Duration{0, 10 * time.Millisecond},
			_maxBudgetRefusals, "",
		},
		{
			"all others overloaded: no request goes to the failing instances", false,
			func(time.Duration) fakeService {
				s := allRefuse(6, RecentFailures)
				s.reasons[0], s.reasons[3] = Full, Full
				s.overloaded = true
				return s
			},
			[2]time.Duration{0, 100 * time.Millisecond},
			16, "",
		},
		{
			"all owners have just started: their instances become known soon", false,
			func(now time.Duration) fakeService {
				if now > 1200*time.Millisecond {
					return oneFree
				}
				return allRefuse(8, UnknownInstance)
			},
			[2]time.Duration{1200 * time.Millisecond, 1800 * time.Millisecond},
			60, AdmitIfFree,
		},
		{
			"no instance accepts requests", false,
			func(time.Duration) fakeService { return allRefuse(3, NotAccepting) },
			[2]time.Duration{0, 10 * time.Millisecond},
			3, "",
		},
		{
			"all owners are stalled: the search goes on when they reply again", false,
			func(now time.Duration) fakeService {
				stalled := allRefuse(2, Unreached)
				stalled.free[0], stalled.free[1] = now > 700*time.Millisecond, now > 700*time.Millisecond
				return stalled
			},
			[2]time.Duration{700 * time.Millisecond, time.Second},
			20, AdmitIfFree,
		},
		{
			"all owners are down: the search ends while the caller has time to retry", false,
			func(time.Duration) fakeService { return allRefuse(2, Unreached) },
			[2]time.Duration{0, _timeout / 4},
			40, "",
		},
		{
			"all others overloaded: a request does not wait for the unreachable owners", false,
			func(time.Duration) fakeService {
				s := allRefuse(6, Unreached)
				s.reasons[0], s.reasons[3] = Full, Full
				s.overloaded = true
				return s
			},
			[2]time.Duration{0, 100 * time.Millisecond},
			16, "",
		},
	}
	for _, c := range cases {
		took, asked, mode := search(t, Config{Deadline: _timeout, NoRetry: c.noRetry}, c.at)
		if mode != c.want || took < c.took[0] || took > c.took[1] || asked > c.asked {
			t.Errorf("%s: %q after %v and %d owners, want %q within %v and %d",
				c.name, mode, took, asked, c.want, c.took, c.asked)
		}
	}
}

// TestSentInstancesAreExcluded checks that a request is not sent to the same instance
// twice.
func TestSentInstancesAreExcluded(t *testing.T) {
	m := New(Config{Deadline: _timeout})
	m, _ = m.Update(SentMsg{Key: key(1)})
	for now := time.Duration(0); now < _timeout; now += 100 * time.Millisecond {
		next, cmd := m.Update(NextMsg{At: now})
		m = next
		try, ok := cmd.(TryCmd)
		if !ok {
			return
		}
		if pick(allRefuse(2, Full), try, 1) == 1 {
			t.Fatalf("asked again at %v: %+v", now, try)
		}
		m, _ = m.Update(RefusedMsg{At: now, Key: key(0), Reason: WaitExpired})
	}
}

// TestRefusalAfterFailedHedge checks that a request queues at the only instance after
// that refused a probe. The search for a hedge had marked the instance as sent in
// the meantime and found no other, which must not exclude it.
func TestRefusalAfterFailedHedge(t *testing.T) {
	for _, reason := range []RefusalReason{Full, WaitExpired, RecentFailures, UnknownInstance, Unreached, OwnerRestarted} {
		m := New(Config{Deadline: _timeout})
		m, _ = m.Update(NextMsg{})
		m, _ = m.Update(SentMsg{Key: key(1)})
		m, cmd := m.Update(NextMsg{})
		for try, ok := cmd.(TryCmd); ok; try, ok = cmd.(TryCmd) {
			if pick(allRefuse(2, Full), try, 1) == 1 {
				t.Fatalf("the second attempt goes to the same instance: %+v", try)
			}
			m, cmd = m.Update(NoCandidateMsg{})
		}
		m, _ = m.Update(RefusedMsg{Key: key(1), Reason: reason, Mode: AdmitIfFree})
		if reason != Full {
			continue
		}
		_, cmd = m.Update(NextMsg{})
		if try, ok := cmd.(TryCmd); !ok || try.Mode != AdmitQueued || slices.Contains(try.Exclude, key(1)) {
			t.Errorf("next command is %+v, want to queue at the instance", cmd)
		}
	}
}

// TestFarProbes guards against a request that asks one owner after another in other data
// centres while the service is full, and against one that asks fewer owners nearby.
func TestFarProbes(t *testing.T) {
	for _, c := range []struct {
		name      string
		far       func(n int) bool
		wantAsked int
	}{
		{"near", func(int) bool { return false }, _maxProbes},
		{"far", func(int) bool { return true }, _maxFarProbes},
		{"near, then far", func(n int) bool { return n > 0 }, 1 + _maxFarProbes},
	} {
		m := New(Config{Deadline: _timeout})
		asked := 0
		for ; ; asked++ {
			var cmd Cmd
			m, cmd = m.Update(NextMsg{})
			try, ok := cmd.(TryCmd)
			if !ok || try.Mode != AdmitIfFree {
				break
			}
			m, _ = m.Update(RefusedMsg{Key: key(asked), Reason: Full, Mode: AdmitIfFree, Far: c.far(asked)})
		}
		if asked != c.wantAsked {
			t.Errorf("%s: asked %d owners before the request queued, want %d", c.name, asked, c.wantAsked)
		}
	}
}
