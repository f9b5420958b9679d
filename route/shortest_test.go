package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func poolOf(n, slots int) Pool {
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

// TestShortest waits where the queue is shortest: an instance that told nothing
// lately is no better than the others are on average.
func TestShortest(t *testing.T) {
	const at = 10 * time.Second
	p := poolOf(4, 4)
	b := NewBook()
	told := func(i, busy int, when time.Duration) {
		b.Change(p.Candidates[i].Key, func(l *Load) { l.Busy, l.Told, l.Took = busy, when, time.Second })
	}
	told(0, 20, at)
	told(1, 12, at)
	told(2, 30, at)
	told(3, 0, at-2*_busyLife) // long ago
	for draw := range uint64(8) {
		c, ok := Shortest(p, b, Request{At: at, Random: draw})
		if !ok || c.Candidate.Key != p.Candidates[1].Key {
			t.Errorf("draw %d: waits at %v", draw, c.Candidate.Key)
		}
	}
	if c, ok := Shortest(p, b, Request{At: at, Tried: []view.Key{p.Candidates[1].Key}}); !ok || c.Candidate.Key == p.Candidates[2].Key {
		t.Errorf("without the shortest: %v, %v", c.Candidate.Key, ok)
	}
}

// TestBrokenPath takes no instance whose owner cannot be reached while there is
// another one, however doubtful, and takes it rather than none.
func TestBrokenPath(t *testing.T) {
	p := poolOf(3, 4).WithBroken(map[string]bool{"127.0.0.1:1": true, "127.0.0.2:1": true})
	b := NewBook()
	last := p.Candidates[2].Key
	for draw := range uint64(32) {
		for name, choose := range map[string]func(Pool, *Book, Request) (Choice, bool){"choose": Choose, "shortest": Shortest} {
			if c, ok := choose(p, b, Request{Random: draw}); !ok || c.Candidate.Key != last {
				t.Fatalf("%s takes %v", name, c.Candidate.Key)
			}
		}
	}
	if _, ok := Shortest(p, b, Request{Tried: []view.Key{last}}); ok || !Passed(p, b, Request{Tried: []view.Key{last}}) {
		t.Error("a broken path is waited at, or not told of")
	}
	if c, ok := Rest(p, b, Request{Tried: []view.Key{last}}); !ok || !c.Candidate.Broken {
		t.Errorf("with nothing else left: %v, %v", c.Candidate, ok)
	}
	if p := p.WithBroken(nil); p.Candidates[0].Broken {
		t.Error("a path that is whole again stays broken")
	}
}

// TestTimes keeps the times of routes apart.
func TestTimes(t *testing.T) {
	times := Times{}
	for range 50 {
		times.Note("call", 100*time.Millisecond)
		times.Note("issue", time.Second)
	}
	if call, issue := times.Of("call"), times.Of("issue"); call > 110*time.Millisecond || issue < 900*time.Millisecond || times.Of("none") != 0 {
		t.Errorf("call %v, issue %v", call, issue)
	}
}

// TestDoubted asks no owner that has said it would refuse, however many have,
// until the time that it named.
func TestDoubted(t *testing.T) {
	const until = 2 * time.Second
	p := poolOf(4, 4)
	b := NewBook()
	for _, c := range p.Candidates[:3] {
		b.Change(c.Key, func(l *Load) { l.Doubted = until })
	}
	sound := p.Candidates[3].Key
	for draw := range uint64(32) {
		r := Request{At: until - 1, Random: draw}
		for name, choose := range map[string]func(Pool, *Book, Request) (Choice, bool){"choose": Choose, "shortest": Shortest} {
			if c, ok := choose(p, b, r); !ok || c.Candidate.Key != sound {
				t.Fatalf("%s asks %v", name, c.Candidate.Key)
			}
		}
		r.Tried = []view.Key{sound}
		if c, ok := Choose(p, b, r); ok || !Passed(p, b, r) {
			t.Fatalf("with only doubtful ones left: %v", c.Candidate.Key)
		}
		if _, ok := Rest(p, b, r); !ok {
			t.Fatal("none to insist on")
		}
		r.At = until
		if _, ok := Choose(p, b, r); !ok || Passed(p, b, r) {
			t.Fatal("still passed over after the time")
		}
	}
}

// TestFree glances only at instances that may have a free slot: owners told
// lately of the others that they are full.
func TestFree(t *testing.T) {
	const at = 10 * time.Second
	p := poolOf(3, 4)
	b := NewBook()
	for _, c := range p.Candidates {
		b.Change(c.Key, func(l *Load) { l.Busy, l.Told = 9, at })
	}
	if c, ok := Free(p, b, Request{At: at}); ok {
		t.Errorf("glances at %v, which is full", c.Candidate.Key)
	}
	if _, ok := Choose(p, b, Request{At: at}); !ok {
		t.Error("a choice takes a full one rather than none")
	}
	b.Change(p.Candidates[1].Key, func(l *Load) { l.Busy = 3 })
	if c, ok := Free(p, b, Request{At: at}); !ok || c.Candidate.Key != p.Candidates[1].Key {
		t.Errorf("glances at %v", c.Candidate.Key)
	}
	if _, ok := Free(p, b, Request{At: at + _busyLife, Tried: []view.Key{p.Candidates[1].Key}}); !ok {
		t.Error("what was told long ago keeps requests away")
	}
	broken := p.WithBroken(map[string]bool{"127.0.0.1:1": true, "127.0.0.2:1": true, "127.0.0.3:1": true})
	if _, ok := Free(broken, b, Request{At: at}); !ok {
		t.Error("with broken paths only, none is tried")
	}
}
