package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// limitedInstance is an instance with a limit, under more load than it has slots for, in
// virtual time.
type limitedInstance struct {
	m      Model
	now    time.Duration
	seq    uint64
	starts []time.Duration
	ends   map[ledger.Ref]time.Duration
}

func newLimitedInstance() *limitedInstance {
	l := &limitedInstance{m: New(Config{}), ends: map[ledger.Ref]time.Duration{}}
	l.update(RegisterMsg{ID: "i", Limits: Limits{Slots: 5, Queue: 16}})
	return l
}

func (l *limitedInstance) update(msg Msg) {
	var cmds []Cmd
	l.m, cmds = l.m.Update(msg)
	for _, cmd := range cmds {
		if start, ok := cmd.(StartCmd); ok {
			l.starts = append(l.starts, l.now)
			l.ends[start.Ref] = l.now + _serviceTime
		}
	}
}

// run sends an attempt every 5 ms, every second one of which may wait, and restarts the
// registration of the instance now and then.
func (l *limitedInstance) run(until time.Duration) {
	for ; l.now < until; l.now += 5 * time.Millisecond {
		for ref, end := range l.ends {
			if end <= l.now {
				delete(l.ends, ref)
				l.update(DoneMsg{ID: "i", Ref: ref, At: l.now})
			}
		}
		l.seq++
		l.update(AdmitMsg{
			ID: "i", Ref: ledger.Ref{Node: "n", Epoch: 1, Seq: l.seq}, At: l.now, StartBy: l.now + time.Second,
			NoQueue: l.seq%2 == 0, BypassBreaker: l.seq%3 == 0, Nested: l.seq%5 == 0,
		})
		if l.now%(50*time.Millisecond) == 0 {
			l.update(ClockMsg{At: l.now})
		}
		if l.now%time.Second == 0 {
			l.update(RegisterMsg{ID: "i", Limits: Limits{Slots: 5, Queue: 16}, At: l.now})
		}
	}
}

// startsIn counts the starts from a time on that fall into a window.
func (l *limitedInstance) startsIn(from, window time.Duration) int {
	n := 0
	for _, at := range l.starts {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// TestMaxRate guards against an instance that gets more attempts than the rate that it has
// named, or clearly fewer, whatever waits in its queue.
func TestMaxRate(t *testing.T) {
	const (
		window = 4 * time.Second
		factor = 1.5 // of its rate that an instance may get in a window
		slack  = 5   // attempts beyond that
		span   = 40 * time.Second
	)
	for _, perSecond := range []float64{0.25, 1, 2.2, 7, 30} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			l := newLimitedInstance()
			l.run(2 * time.Second)
			l.update(MaxRateMsg{ID: "i", PerSecond: perSecond, At: l.now})
			named := l.now
			for l.now < named+span {
				l.run(l.now + 500*time.Millisecond)
				l.update(MaxRateMsg{ID: "i", PerSecond: perSecond, At: l.now})
			}
			allowed := int(perSecond*window.Seconds()*factor) + slack
			for from := named; from < named+span; from += 100 * time.Millisecond {
				if got := l.startsIn(from, window); got > allowed {
					t.Fatalf("%d attempts in %v from %v on, allowed %d", got, window, from-named, allowed)
				}
			}
			if got, want := float64(l.startsIn(named, span)), perSecond*span.Seconds(); got < 0.9*want-1 {
				t.Errorf("%.0f attempts in %v of overload, want about %.0f", got, span, want)
			}
			l.update(MaxRateMsg{ID: "i", At: l.now})
			l.run(l.now + time.Second)
			if got := l.startsIn(named+span, time.Second); got < 50 {
				t.Errorf("%d attempts in a second without the limit", got)
			}
		})
	}
}

// TestMaxRateChanges guards against a burst when an instance names another limit.
func TestMaxRateChanges(t *testing.T) {
	const window = 4 * time.Second
	l := newLimitedInstance()
	l.update(MaxRateMsg{ID: "i", PerSecond: 1, At: l.now})
	// Without any attempts, tokens add up to one burst only.
	l.now += time.Minute
	from := l.now
	for n := range 40 {
		l.update(MaxRateMsg{ID: "i", PerSecond: []float64{1, 1.2}[n%2], At: l.now})
		l.run(l.now + 100*time.Millisecond)
	}
	if got := l.startsIn(from, window); got > 7 {
		t.Errorf("%d attempts in %v at a limit of 1 to 1.2 a second", got, window)
	}
	l.update(MaxRateMsg{ID: "other", PerSecond: 1, At: l.now})
	if wait := l.m.LimitedFor("other", l.now); wait != 0 {
		t.Errorf("an unknown instance is limited for %v", wait)
	}
}
