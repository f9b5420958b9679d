package gate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// kind is one class of requests in a simulated load.
type kind struct {
	name     string
	priority int
	rate     float64       // requests a second
	work     time.Duration // mean
	target   time.Duration
	left     time.Duration // time to the deadline
	nested   bool          // a request elsewhere holds a slot meanwhile
}

// tally counts the results of one kind.
type tally struct {
	sent, inTime, late, refused int
	longestWait                 time.Duration // before a refusal
	waitedLong                  int           // refused after more than an eighth of the target
}

// request is a queued or running request.
type request struct {
	kind kind
	at   time.Duration
	work time.Duration
	ends time.Duration
}

// ended returns the requests that have ended in order of arrival, so that runs
// are deterministic.
func ended(open map[ledger.Ref]*request, now time.Duration) []ledger.Ref {
	var list []ledger.Ref
	for ref, r := range open {
		if r.ends > 0 && r.ends <= now {
			list = append(list, ref)
		}
	}
	slices.SortFunc(list, func(a, b ledger.Ref) int { return cmp.Compare(a.Seq, b.Seq) })
	return list
}

// load simulates one instance with four slots in virtual time.
func load(kinds []kind, seed uint64, span time.Duration) map[string]*tally {
	const id = "i"
	m := New(Config{})
	m, _ = m.Update(RegisterMsg{ID: id, Limits: Limits{Slots: 4, Queue: 256}})
	rng := rand.New(rand.NewPCG(seed, 5))
	open := map[ledger.Ref]*request{}
	out := map[string]*tally{}
	next := make([]time.Duration, len(kinds))
	for _, k := range kinds {
		out[k.name] = &tally{}
	}
	run := func(cmds []Cmd, now time.Duration) {
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case StartCmd:
				r := open[cmd.Ref]
				r.ends = now + r.work
			case RefuseCmd:
				r := open[cmd.Ref]
				out[r.kind.name].refused++
				out[r.kind.name].longestWait = max(out[r.kind.name].longestWait, now-r.at)
				if now-r.at > r.kind.target/8 {
					out[r.kind.name].waitedLong++
				}
				delete(open, cmd.Ref)
			}
		}
	}
	seq := uint64(0)
	for now := time.Duration(0); now < span; now += time.Millisecond {
		var cmds []Cmd
		for _, ref := range ended(open, now) {
			r := open[ref]
			if now-r.at <= r.kind.target {
				out[r.kind.name].inTime++
			} else {
				out[r.kind.name].late++
			}
			delete(open, ref)
			m, cmds = m.Update(DoneMsg{ID: id, Ref: ref, At: now})
			run(cmds, now)
		}
		for i, k := range kinds {
			for next[i] <= now {
				next[i] += time.Duration(rng.ExpFloat64() / k.rate * float64(time.Second))
				seq++
				r := ref(seq)
				open[r] = &request{kind: k, at: now, work: time.Duration(rng.ExpFloat64() * float64(k.work))}
				out[k.name].sent++
				m, cmds = m.Update(AdmitMsg{
					ID: id, Ref: r, At: now, Priority: k.priority,
					StartBy: now + k.left*7/10, TargetStart: now + k.target - k.work, Nested: k.nested,
				})
				run(cmds, now)
			}
		}
		if now%(50*time.Millisecond) == 0 {
			m, cmds = m.Update(ClockMsg{At: now})
			run(cmds, now)
		}
	}
	return out
}

// TestUrgentPriorityFirst checks that at 1.5 times the capacity of an instance,
// short calls of a more urgent priority are served and downloads get the
// capacity that is left.
func TestUrgentPriorityFirst(t *testing.T) {
	kinds := []kind{
		{name: "call", priority: 1, rate: 20, work: 120 * time.Millisecond, target: 400 * time.Millisecond, left: 1200 * time.Millisecond},
		{name: "download", priority: 2, rate: 9, work: 400 * time.Millisecond, target: 1200 * time.Millisecond, left: 8 * time.Second},
	}
	got := load(kinds, 1, 2*time.Minute)
	call, download := got["call"], got["download"]
	t.Logf("calls %+v, downloads %+v", *call, *download)
	// The more urgent kind may lose five of a hundred at the most.
	if served := float64(call.inTime+call.late) / float64(call.sent); served < 0.95 {
		t.Errorf("%.3f of the calls were served, want 0.95", served)
	}
	// Four slots do 4 s of work a second; the calls take 2.4 s of it.
	if served := float64(download.inTime+download.late) / float64(download.sent); served < 0.9*(4-2.4)/(9*0.4) {
		t.Errorf("%.3f of the downloads were served", served)
	}
}

// TestOnTimeBeforeLate checks that under bursts of overload, requests that can still
// meet their target go before those that are late already, so that most of the
// capacity serves requests in time.
func TestOnTimeBeforeLate(t *testing.T) {
	kinds := []kind{{name: "lookup", priority: 2, rate: 1.3 * 4 / 0.48, work: 480 * time.Millisecond, target: 1500 * time.Millisecond, left: 8 * time.Second}}
	got := load(kinds, 2, 2*time.Minute)["lookup"]
	t.Logf("%+v", *got)
	// At 1.3 times the capacity 0.77 can be served; in order of arrival nearly
	// all of them would be late.
	if share := float64(got.inTime) / float64(got.sent); share < 0.55 {
		t.Errorf("%.3f of the requests were served in time", share)
	}
}

// TestOverloadRefusedOnArrival checks at three times the capacity that the
// whole capacity is used: what cannot be served in time is refused on arrival, not
// after a wait.
func TestOverloadRefusedOnArrival(t *testing.T) {
	kinds := []kind{{name: "lookup", priority: 2, rate: 3 * 4 / 0.48, work: 480 * time.Millisecond, target: 1500 * time.Millisecond, left: 2 * time.Second}}
	got := load(kinds, 3, 4*time.Minute)["lookup"]
	t.Logf("%+v", *got)
	if share := float64(got.inTime+got.late) / float64(got.sent); share < 0.95/3 {
		t.Errorf("%.3f of the requests were served, a third could be", share)
	}
}

// TestPartialOverloadRefusedOnArrival checks one instance at 1.8 times its capacity, as
// when half of a service fails: the urgent kind is served, and most refusals come
// on arrival instead of after a wait.
func TestPartialOverloadRefusedOnArrival(t *testing.T) {
	const target = 1500 * time.Millisecond
	kinds := []kind{
		{name: "issue", priority: 1, rate: 0.7 * 4 / 0.48, work: 480 * time.Millisecond, target: target, left: 5 * time.Second},
		{name: "lookup", priority: 2, rate: 1.1 * 4 / 0.48, work: 480 * time.Millisecond, target: target, left: 8 * time.Second},
	}
	got := load(kinds, 4, 4*time.Minute)
	issue, lookup := got["issue"], got["lookup"]
	t.Logf("issue %+v, lookup %+v", *issue, *lookup)
	// The more urgent kind may lose five of a hundred at the most.
	if served := float64(issue.inTime+issue.late) / float64(issue.sent); served < 0.95 {
		t.Errorf("%.3f of the more urgent kind were served", served)
	}
	sent := issue.sent + lookup.sent
	if waited := issue.waitedLong + lookup.waitedLong; waited > sent/8 {
		t.Errorf("%d of %d were refused after a wait", waited, sent)
	}
	if served := issue.inTime + issue.late + lookup.inTime + lookup.late; float64(served) < 0.95*float64(sent)/1.8 {
		t.Errorf("%d of %d were served", served, sent)
	}
}

// TestNestedBeforeFresh checks that nested calls go before fresh requests of the
// same priority at 1.5 times the capacity: a call that fails wastes the slot that
// its request holds elsewhere.
func TestNestedBeforeFresh(t *testing.T) {
	kinds := []kind{
		{name: "call", priority: 1, rate: 10, work: 120 * time.Millisecond, target: 400 * time.Millisecond, left: 1200 * time.Millisecond, nested: true},
		{name: "issue", priority: 1, rate: 10, work: 480 * time.Millisecond, target: 2 * time.Second, left: 6 * time.Second},
	}
	got := load(kinds, 5, 2*time.Minute)
	call, issue := got["call"], got["issue"]
	t.Logf("calls %+v, issues %+v", *call, *issue)
	if served := float64(call.inTime+call.late) / float64(call.sent); served < 0.95 {
		t.Errorf("%.3f of the calls were served, want 0.95", served)
	}
	// Four slots do 4 s of work a second; the calls take 1.2 s of it.
	if served := float64(issue.inTime+issue.late) / float64(issue.sent); served < 0.9*(4-1.2)/(10*0.48) {
		t.Errorf("%.3f of the fresh requests were served", served)
	}
}
