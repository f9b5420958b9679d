package detect

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_median = 20 * time.Millisecond
	_gap    = 50 * time.Millisecond
)

// cancelsUntilEjection feeds canceled requests until the detector requests an
// ejection, and returns how many that took, or 0.
func cancelsUntilEjection(p spec.Patience, elapsed time.Duration, most int) int {
	m := New(Config{Patience: p})
	for n := 1; n <= most; n++ {
		at := time.Duration(n) * _gap
		m, _ = m.Update(StatsMsg{At: at, Median: _median})
		var cmds []Cmd
		m, cmds = m.Update(CancelMsg{At: at, Elapsed: elapsed})
		if len(cmds) > 0 {
			return n
		}
	}
	return 0
}

// TestCancel checks that a straggler is found although its callers always give up,
// and that an instance whose callers give up early is not ejected.
func TestCancel(t *testing.T) {
	cases := []struct {
		name     string
		patience spec.Patience
		elapsed  time.Duration
		found    bool
	}{
		{"quick, straggler", spec.Quick, 4 * _median, true},
		{"sure, straggler", spec.Sure, 4 * _median, true},
		{"quick, early", spec.Quick, 2 * _median, false},
		{"sure, early", spec.Sure, _median, false},
	}
	for _, c := range cases {
		if n := cancelsUntilEjection(c.patience, c.elapsed, 40); n > 0 != c.found {
			t.Errorf("%s: requested an ejection after %d canceled requests", c.name, n)
		}
	}
}

// TestColdStart checks that a slow request that started on a cold instance does not
// count, even if it ends after the warmup.
func TestColdStart(t *testing.T) {
	const warm = 5 * time.Second
	cases := []struct {
		name      string
		latency   time.Duration
		unhealthy bool
	}{
		{"started cold", time.Second, false},
		{"started warm", 100 * time.Millisecond, true},
	}
	for _, c := range cases {
		m := New(Config{Patience: spec.Quick, WarmAt: warm})
		for n := range 20 {
			at := warm + 200*time.Millisecond + time.Duration(n)*time.Millisecond
			m, _ = m.Update(StatsMsg{At: at, Median: _median})
			m, _ = m.Update(ResultMsg{At: at, Latency: c.latency})
		}
		if m.Unhealthy() != c.unhealthy {
			t.Errorf("%s: unhealthy is %v", c.name, m.Unhealthy())
		}
	}
}

// TestSlowness checks that an instance slower than the others is found, and that none
// is found if all are equally slow.
func TestSlowness(t *testing.T) {
	const bodyTime = 20 * time.Millisecond
	cases := []struct {
		name     string
		msg      func(at time.Duration) Msg
		median   time.Duration
		bodyTime time.Duration
		reason   Reason
	}{
		{"straggler", func(at time.Duration) Msg { return ResultMsg{At: at, Latency: 4 * _median} }, _median, bodyTime, Slow},
		{"as slow as all", func(at time.Duration) Msg { return ResultMsg{At: at, Latency: 4 * _median} }, 4 * _median, bodyTime, ""},
		{"slow bodies", func(at time.Duration) Msg { return BodyTimeMsg{At: at, PerMiB: 10 * bodyTime} }, _median, bodyTime, SlowBodies},
		{"bodies within the margin", func(at time.Duration) Msg { return BodyTimeMsg{At: at, PerMiB: 5 * bodyTime} }, _median, bodyTime, ""},
		{"bodies as slow as all", func(at time.Duration) Msg { return BodyTimeMsg{At: at, PerMiB: 10 * bodyTime} }, _median, 10 * bodyTime, ""},
		{"bodies without a median", func(at time.Duration) Msg { return BodyTimeMsg{At: at, PerMiB: 10 * bodyTime} }, _median, 0, ""},
	}
	for _, c := range cases {
		m := New(Config{Patience: spec.Quick})
		var reason Reason
		for n := range 20 {
			at := time.Duration(n) * _gap
			m, _ = m.Update(StatsMsg{At: at, Median: c.median, BodyTimePerMiB: c.bodyTime})
			var cmds []Cmd
			m, cmds = m.Update(c.msg(at))
			for _, cmd := range cmds {
				if eject, ok := cmd.(EjectCmd); ok {
					reason = eject.Reason
				}
			}
		}
		if reason != c.reason {
			t.Errorf("%s: reason %q, want %q", c.name, reason, c.reason)
		}
	}
}
