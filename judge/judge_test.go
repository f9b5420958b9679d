package judge

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_median = 20 * time.Millisecond
	_gap    = 50 * time.Millisecond
)

// asks feeds requests that callers cancelled until the detector wants an
// ejection, and returns how many that took, or 0.
func asks(p spec.Patience, ran time.Duration, most int) int {
	m := New(Config{Patience: p})
	for n := 1; n <= most; n++ {
		at := time.Duration(n) * _gap
		m, _ = m.Update(HintMsg{At: at, Median: _median})
		var cmds []Cmd
		m, cmds = m.Update(CancelMsg{At: at, Ran: ran})
		if len(cmds) > 0 {
			return n
		}
	}
	return 0
}

// TestCancelled finds a straggler whose callers always give up, and leaves an
// instance alone whose callers leave early.
func TestCancelled(t *testing.T) {
	cases := []struct {
		name     string
		patience spec.Patience
		ran      time.Duration
		found    bool
	}{
		{"quick, straggler", spec.Quick, 4 * _median, true},
		{"sure, straggler", spec.Sure, 4 * _median, true},
		{"quick, early", spec.Quick, 2 * _median, false},
		{"sure, early", spec.Sure, _median, false},
	}
	for _, c := range cases {
		if n := asks(c.patience, c.ran, 40); n > 0 != c.found {
			t.Errorf("%s: asked after %d cancelled requests", c.name, n)
		}
	}
}

// TestColdStart counts no slow request that began while the instance was cold,
// also when it ends after that.
func TestColdStart(t *testing.T) {
	const warm = 5 * time.Second
	cases := []struct {
		name string
		took time.Duration
		sick bool
	}{
		{"began cold", time.Second, false},
		{"began warm", 100 * time.Millisecond, true},
	}
	for _, c := range cases {
		m := New(Config{Patience: spec.Quick, Warm: warm})
		for n := range 20 {
			at := warm + 200*time.Millisecond + time.Duration(n)*time.Millisecond
			m, _ = m.Update(HintMsg{At: at, Median: _median})
			m, _ = m.Update(WorkMsg{At: at, Took: c.took})
		}
		if m.Sick() != c.sick {
			t.Errorf("%s: sick is %v", c.name, m.Sick())
		}
	}
}

// TestSlowness finds an instance that is slow against the others, and none for
// a time that they all share.
func TestSlowness(t *testing.T) {
	const pace = 20 * time.Millisecond
	cases := []struct {
		name   string
		msg    func(at time.Duration) Msg
		median time.Duration
		pace   time.Duration
		reason Reason
	}{
		{"straggler", func(at time.Duration) Msg { return WorkMsg{At: at, Took: 4 * _median} }, _median, pace, Slow},
		{"as slow as all", func(at time.Duration) Msg { return WorkMsg{At: at, Took: 4 * _median} }, 4 * _median, pace, ""},
		{"slow bodies", func(at time.Duration) Msg { return BodyMsg{At: at, Pace: 10 * pace} }, _median, pace, SlowBodies},
		{"bodies within the margin", func(at time.Duration) Msg { return BodyMsg{At: at, Pace: 5 * pace} }, _median, pace, ""},
		{"bodies as slow as all", func(at time.Duration) Msg { return BodyMsg{At: at, Pace: 10 * pace} }, _median, 10 * pace, ""},
		{"bodies without a median", func(at time.Duration) Msg { return BodyMsg{At: at, Pace: 10 * pace} }, _median, 0, ""},
	}
	for _, c := range cases {
		m := New(Config{Patience: spec.Quick})
		var reason Reason
		for n := range 20 {
			at := time.Duration(n) * _gap
			m, _ = m.Update(HintMsg{At: at, Median: c.median, Pace: c.pace})
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
