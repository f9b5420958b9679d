package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

const _serviceTime = 50 * time.Millisecond

// overload simulates one instance in virtual time at a multiple of its capacity.
// It returns the goodput as a share of the capacity, and the share of the served
// requests that goes to the smaller of two callers, which sends a tenth of the load.
func overload(times float64, seed uint64) (goodput float64, fair float64) {
	const span = 60 * time.Second
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: "i", Limits: Limits{Slots: 4, Queue: 16}})
	rng := rand.New(rand.NewPCG(seed, 3))
	capacity := 4 / _serviceTime.Seconds()
	ends := map[ledger.Ref]time.Duration{}
	callers := map[ledger.Ref]string{}
	served := map[string]float64{}
	run := func(cmds []Cmd, now time.Duration) {
		for _, cmd := range cmds {
			if start, ok := cmd.(StartCmd); ok {
				ends[start.Ref] = now + _serviceTime
			}
		}
	}
	next := time.Duration(0)
	for now := time.Duration(0); now < span; now += time.Millisecond {
		for ref, end := range ends {
			if end <= now {
				delete(ends, ref)
				served[callers[ref]]++
				var cmds []Cmd
				m, cmds = m.Update(DoneMsg{ID: "i", Ref: ref, At: now})
				run(cmds, now)
			}
		}
		for next <= now {
			next += time.Duration(rng.ExpFloat64() / (capacity * times) * float64(time.Second))
			ref := ledger.Ref{Node: "n", Epoch: 1, Seq: uint64(len(callers) + 1)}
			callers[ref] = []string{"few", "many"}[min(1, rng.IntN(10))]
			var cmds []Cmd
			m, cmds = m.Update(AdmitMsg{ID: "i", Ref: ref, Caller: callers[ref], At: now, StartBy: now + 500*time.Millisecond})
			run(cmds, now)
		}
		if now%(50*time.Millisecond) == 0 {
			var cmds []Cmd
			m, cmds = m.Update(ClockMsg{At: now})
			run(cmds, now)
		}
	}
	return (served["few"] + served["many"]) / span.Seconds() / capacity, served["few"] / (served["few"] + served["many"])
}

// TestGoodput checks that goodput stays at least 95 % of the capacity at 2 and 10
// times the load, and that each caller gets its fair share.
func TestGoodput(t *testing.T) {
	loads := []struct {
		times float64
		least float64
	}{{0.5, 0.45}, {1, 0.85}, {2, 0.95}, {10, 0.95}}
	for _, l := range loads {
		goodput, few := overload(l.times, 1)
		t.Logf("%.1f times the capacity: goodput %.3f, share of the small caller %.2f", l.times, goodput, few)
		if goodput < l.least {
			t.Errorf("%.1f times the capacity: goodput is %.3f, least %.2f", l.times, goodput, l.least)
		}
		if l.times >= 10 && few < 0.4 {
			t.Errorf("the small caller gets %.2f of the slots", few)
		}
	}
}

// TestGate lists the decisions of the gate and the reasons for refusals.
func TestGate(t *testing.T) {
	limits := Limits{Slots: 1, Queue: 1}
	admit := func(seq uint64, at time.Duration) Msg {
		return AdmitMsg{ID: "i", Ref: ref(seq), Caller: fmt.Sprint(seq), At: at, StartBy: at + time.Second}
	}
	cases := []struct {
		name string
		msgs []Msg
		want Cmd
	}{
		{"starts", []Msg{admit(1, 0)}, StartCmd{Ref: ref(1)}},
		{"full", []Msg{admit(1, 0), admit(2, 0), admit(3, 0)}, RefuseCmd{Ref: ref(3), Reason: Full}},
		{"leaving", []Msg{LeaveMsg{ID: "i", Until: 5}, admit(1, 5)}, RefuseCmd{Ref: ref(1), Reason: Leaving}},
		{"within the grace", []Msg{LeaveMsg{ID: "i", Until: 5}, admit(1, 4)}, StartCmd{Ref: ref(1)}},
		{"ejected", []Msg{EjectMsg{ID: "i", Until: 5}, admit(1, 4)}, RefuseCmd{Ref: ref(1), Reason: Ejected}},
		{"ejection over", []Msg{EjectMsg{ID: "i", Until: 5}, admit(1, 5)}, StartCmd{Ref: ref(1)}},
		{"removed", []Msg{RemoveMsg{ID: "i"}, admit(1, 0)}, RefuseCmd{Ref: ref(1), Reason: UnknownInstance}},
		{"revoked first", []Msg{RevokeMsg{ID: "i", Ref: ref(1)}, admit(1, 0)}, RefuseCmd{Ref: ref(1), Reason: Revoked}},
		{"revoked after the start", []Msg{admit(1, 0), RevokeMsg{ID: "i", Ref: ref(1)}}, RevokeResultCmd{Ref: ref(1), State: ledger.Running}},
		{"waits", []Msg{admit(1, 0), admit(2, 0), DoneMsg{ID: "i", Ref: ref(1)}}, StartCmd{Ref: ref(2)}},
		{"waits too long", []Msg{admit(1, 0), admit(2, 0), ClockMsg{At: time.Second}}, RefuseCmd{Ref: ref(2), Reason: Expired}},
		{"duplicate", []Msg{admit(1, 0), admit(1, 0)}, DuplicateCmd{Ref: ref(1), State: ledger.Running}},
	}
	for _, c := range cases {
		m := New(Config{})
		m, _ = m.Update(RegisterMsg{ID: "i", Limits: limits})
		var last []Cmd
		for _, msg := range c.msgs {
			m, last = m.Update(msg)
		}
		if len(last) == 0 || last[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, last, c.want)
		}
	}
}

// TestBreaker checks that a failing instance does not fail all of its queued
// attempts: only one probe runs, and after a second failure the queue is refused.
func TestBreaker(t *testing.T) {
	const waiting = 20
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: "i", Limits: Limits{Slots: 1, Queue: 2 * waiting}})
	update := func(msg Msg) (started, refused []ledger.Ref) {
		var cmds []Cmd
		m, cmds = m.Update(msg)
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case StartCmd:
				started = append(started, cmd.Ref)
			case RefuseCmd:
				if cmd.Reason != RecentFailures {
					t.Errorf("%v refused: %s", cmd.Ref, cmd.Reason)
				}
				refused = append(refused, cmd.Ref)
			}
		}
		return started, refused
	}
	const bypassing = 7
	for n := range uint64(waiting + 1) {
		update(AdmitMsg{ID: "i", Ref: ref(n + 1), StartBy: time.Minute, NoProbe: n%2 == 0, BypassBreaker: n+1 == bypassing})
	}
	fail := func(seq uint64, at, pause time.Duration, refuseQueued bool) ([]ledger.Ref, []ledger.Ref) {
		first, refused := update(BreakerMsg{ID: "i", ProbeAt: at + pause, Until: at + 5*time.Second, RefuseQueued: refuseQueued, At: at})
		second, _ := update(DoneMsg{ID: "i", Ref: ref(seq), At: at})
		return append(first, second...), refused
	}
	started, refused := fail(1, time.Second, 200*time.Millisecond, false)
	if len(started) != 1 || started[0] != ref(bypassing) || len(refused) != 0 {
		t.Fatalf("after the first failure %v started and %v were refused", started, refused)
	}
	if started, _ = update(DoneMsg{ID: "i", Ref: ref(bypassing), At: 1100 * time.Millisecond}); len(started) != 0 {
		t.Fatalf("%v started before the probe was due", started)
	}
	started, _ = update(ClockMsg{At: 1200 * time.Millisecond})
	if len(started) != 1 || started[0] != ref(2) {
		t.Fatalf("the probe is %v, want the first attempt that may be retried", started)
	}
	started, refused = fail(2, 1300*time.Millisecond, 2*time.Second, true)
	if len(started) != 0 || len(refused) != waiting-2 {
		t.Fatalf("after the second failure %v started and %d were refused", started, len(refused))
	}
	update(AdmitMsg{ID: "i", Ref: ref(100), At: 1300 * time.Millisecond, StartBy: time.Minute})
	update(AdmitMsg{ID: "i", Ref: ref(101), At: 1300 * time.Millisecond, StartBy: time.Minute})
	if started, _ = update(BreakerMsg{ID: "i", At: 1400 * time.Millisecond}); len(started) != 0 {
		t.Fatalf("%v started without a free slot", started)
	}
	if started, _ = update(DoneMsg{ID: "i", Ref: ref(100), At: 1500 * time.Millisecond}); len(started) != 1 {
		t.Fatal("nothing starts once the breaker is closed")
	}
}

// TestBreakerInconclusiveProbe checks that another attempt probes the instance
// after a probe without a result.
func TestBreakerInconclusiveProbe(t *testing.T) {
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: "i", Limits: Limits{Slots: 1, Queue: 8}})
	for n := range uint64(3) {
		m, _ = m.Update(AdmitMsg{ID: "i", Ref: ref(n + 1), StartBy: time.Minute})
	}
	open := BreakerMsg{ID: "i", Until: time.Minute}
	m, _ = m.Update(open)
	m, cmds := m.Update(DoneMsg{ID: "i", Ref: ref(1)})
	if len(cmds) != 1 || cmds[0] != (StartCmd{Ref: ref(2)}) {
		t.Fatalf("the probe is %v", cmds)
	}
	m, cmds = m.Update(DoneMsg{ID: "i", Ref: ref(2)})
	if len(cmds) != 0 {
		t.Fatalf("a second probe starts before the result of the first: %v", cmds)
	}
	_, cmds = m.Update(open)
	if len(cmds) != 1 || cmds[0] != (StartCmd{Ref: ref(3)}) {
		t.Errorf("after an inconclusive probe: %v", cmds)
	}
}

// TestSlowStart checks that a cold instance starts with one slot and ramps up to its
// limit.
func TestSlowStart(t *testing.T) {
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: "i", Limits: Limits{Slots: 5, Warmup: 4 * time.Second}})
	for at, want := range map[time.Duration]int{0: 1, time.Second: 2, 3 * time.Second: 4, 4 * time.Second: 5} {
		if got := m.Load("i", at).Slots; got != want {
			t.Errorf("%d slots at %v, want %d", got, at, want)
		}
	}
}

func ref(seq uint64) ledger.Ref {
	return ledger.Ref{Node: "n", Epoch: 1, Seq: seq}
}

// BenchmarkAdmit measures admitting and completing one attempt.
func BenchmarkAdmit(b *testing.B) {
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: "i", Limits: Limits{Slots: 4, Queue: 16}})
	b.ReportAllocs()
	for n := range b.N {
		at := time.Duration(n) * time.Microsecond
		r := ref(uint64(n + 1))
		m, _ = m.Update(AdmitMsg{ID: "i", Ref: r, Caller: "c", At: at, StartBy: at + time.Second})
		m, _ = m.Update(DoneMsg{ID: "i", Ref: r, At: at})
		if n%1000 == 0 {
			m, _ = m.Update(ClockMsg{At: at})
		}
	}
}
