package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func newUniformPool(n, slots int) Pool {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{
			Key:   view.Key{Node: fmt.Sprint("n", i), ID: "i"},
			Addr:  fmt.Sprintf("127.0.0.%d:1", i+1),
			Slots: slots,
		})
	}
	return NewPool(view.VersionedService{Service: spec.Service{Share: 0.7}}, "mida", list)
}

// TestChooseShortestWait checks that the shortest queue is chosen, and that an
// instance without a recent report counts as average rather than as empty.
func TestChooseShortestWait(t *testing.T) {
	const at = 10 * time.Second
	p := newUniformPool(4, 4)
	loads := NewLoadTracker()
	report := func(i, active int, reportedAt time.Duration) {
		loads.Update(p.Candidates[i].Key, func(l *Load) { l.Active, l.ReportedAt, l.Latency = active, reportedAt, time.Second })
	}
	report(0, 20, at)
	report(1, 12, at)
	report(2, 30, at)
	report(3, 0, at-2*_loadMaxAge) // stale
	for random := range uint64(8) {
		c, ok := ChooseShortestWait(p, loads, Request{At: at, Random: random})
		if !ok || c.Candidate.Key != p.Candidates[1].Key {
			t.Errorf("random %d: waits at %v", random, c.Candidate.Key)
		}
	}
	if c, ok := ChooseShortestWait(p, loads, Request{At: at, Tried: []view.Key{p.Candidates[1].Key}}); !ok || c.Candidate.Key == p.Candidates[2].Key {
		t.Errorf("without the shortest queue: %v, %v", c.Candidate.Key, ok)
	}
}

// TestUnreachableOwnersChosenLast checks that an instance with an unreachable owner
// is chosen only when no other is left.
func TestUnreachableOwnersChosenLast(t *testing.T) {
	p := newUniformPool(3, 4).WithUnreachable(map[string]bool{"127.0.0.1:1": true, "127.0.0.2:1": true})
	loads := NewLoadTracker()
	reachable := p.Candidates[2].Key
	for random := range uint64(32) {
		for name, choose := range map[string]func(Pool, *LoadTracker, Request) (Choice, bool){"choose": Choose, "shortest": ChooseShortestWait} {
			if c, ok := choose(p, loads, Request{Random: random}); !ok || c.Candidate.Key != reachable {
				t.Fatalf("%s: chose %v", name, c.Candidate.Key)
			}
		}
	}
	if _, ok := ChooseShortestWait(p, loads, Request{Tried: []view.Key{reachable}}); ok || !HasSkipped(p, loads, Request{Tried: []view.Key{reachable}}) {
		t.Error("an instance with an unreachable owner is chosen or not reported as skipped")
	}
	if c, ok := ChooseAvoided(p, loads, Request{Tried: []view.Key{reachable}}); !ok || !c.Candidate.Unreachable {
		t.Errorf("with only unreachable owners left: %v, %v", c.Candidate, ok)
	}
	if p := p.WithUnreachable(nil); p.Candidates[0].Unreachable {
		t.Error("the owner is still unreachable after it was cleared")
	}
}

// TestLatenciesPerRoute checks that routes have separate latencies.
func TestLatenciesPerRoute(t *testing.T) {
	latencies := Latencies{}
	for range 50 {
		latencies.Record("call", 100*time.Millisecond)
		latencies.Record("issue", time.Second)
	}
	if call, issue := latencies.Typical("call"), latencies.Typical("issue"); call > 110*time.Millisecond || issue < 900*time.Millisecond || latencies.Typical("none") != 0 {
		t.Errorf("call %v, issue %v", call, issue)
	}
}

// TestRefusingOwnersAreSkipped checks that owners that announced refusals are skipped
// until the time that they named, however many they are.
func TestRefusingOwnersAreSkipped(t *testing.T) {
	const until = 2 * time.Second
	p := newUniformPool(4, 4)
	loads := NewLoadTracker()
	for _, c := range p.Candidates[:3] {
		loads.Update(c.Key, func(l *Load) { l.RefusesUntil = until })
	}
	accepting := p.Candidates[3].Key
	for random := range uint64(32) {
		r := Request{At: until - 1, Random: random}
		for name, choose := range map[string]func(Pool, *LoadTracker, Request) (Choice, bool){"choose": Choose, "shortest": ChooseShortestWait} {
			if c, ok := choose(p, loads, r); !ok || c.Candidate.Key != accepting {
				t.Fatalf("%s: chose %v", name, c.Candidate.Key)
			}
		}
		r.Tried = []view.Key{accepting}
		if c, ok := Choose(p, loads, r); ok || !HasSkipped(p, loads, r) {
			t.Fatalf("with only refusing owners left: chose %v", c.Candidate.Key)
		}
		if _, ok := ChooseAvoided(p, loads, r); !ok {
			t.Fatal("ChooseAvoided returns no instance")
		}
		r.At = until
		if _, ok := Choose(p, loads, r); !ok || HasSkipped(p, loads, r) {
			t.Fatal("still skipped after RefusesUntil")
		}
	}
}

// TestChooseFree checks that only instances that may have a free slot are chosen,
// not those reported as full.
func TestChooseFree(t *testing.T) {
	const at = 10 * time.Second
	p := newUniformPool(3, 4)
	loads := NewLoadTracker()
	for _, c := range p.Candidates {
		loads.Update(c.Key, func(l *Load) { l.Active, l.ReportedAt = 9, at })
	}
	if c, ok := ChooseFree(p, loads, Request{At: at}); ok {
		t.Errorf("chose %v, which is full", c.Candidate.Key)
	}
	if _, ok := Choose(p, loads, Request{At: at}); !ok {
		t.Error("Choose returns no instance when all are full")
	}
	loads.Update(p.Candidates[1].Key, func(l *Load) { l.Active = 3 })
	if c, ok := ChooseFree(p, loads, Request{At: at}); !ok || c.Candidate.Key != p.Candidates[1].Key {
		t.Errorf("chose %v, want the instance with a free slot", c.Candidate.Key)
	}
	if _, ok := ChooseFree(p, loads, Request{At: at + _loadMaxAge, Tried: []view.Key{p.Candidates[1].Key}}); !ok {
		t.Error("a stale report still marks an instance as full")
	}
	unreachable := p.WithUnreachable(map[string]bool{"127.0.0.1:1": true, "127.0.0.2:1": true, "127.0.0.3:1": true})
	if _, ok := ChooseFree(unreachable, loads, Request{At: at}); !ok {
		t.Error("no instance is chosen when all owners are unreachable")
	}
}
