package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func table(routes int) *Table {
	var services []spec.Service
	for n := 0; n < routes; n += 16 {
		s := spec.Service{Name: fmt.Sprint("s", n)}
		for i := range 16 {
			s.Routes = append(s.Routes, spec.Route{
				Host: fmt.Sprintf("host-%d.example", n%960), Path: fmt.Sprintf("/area-%d/part-%d", n, i),
			})
		}
		services = append(services, s)
	}
	return NewTable(services)
}

// TestFind lists which route a request belongs to.
func TestFind(t *testing.T) {
	services := []spec.Service{
		{Name: "all", Routes: []spec.Route{{Path: "/"}}},
		{Name: "check", Routes: []spec.Route{{Path: "/check"}, {Path: "/check/deep", Method: "POST"}}},
		{Name: "host", Routes: []spec.Route{{Host: "Permits.example", Path: "/check"}}},
	}
	tbl := NewTable(services)
	cases := []struct{ host, method, path, want string }{
		{"x", "GET", "/", "all"},
		{"x", "GET", "/other", "all"},
		{"x", "GET", "/check", "check"},
		{"x", "GET", "/check/7", "check"},
		{"x", "GET", "/checks", "all"},
		{"x", "GET", "//check//7", "check"},
		{"x", "POST", "/check/deep/1", "check"},
		{"permits.example:8080", "GET", "/check/7", "host"},
		{"PERMITS.example", "GET", "/check/7", "host"},
		{"permits.example", "GET", "/none", "all"},
	}
	for _, c := range cases {
		m, ok := tbl.Find(c.host, c.method, c.path)
		if !ok || m.Service.Name != c.want {
			t.Errorf("%s %s %s: got %+v, want %s", c.method, c.host, c.path, m.Service, c.want)
		}
	}
}

// TestFindAllocatesNothing holds the lookup to no allocation at 48,000 routes.
func TestFindAllocatesNothing(t *testing.T) {
	tbl := table(48000)
	n := testing.AllocsPerRun(1000, func() {
		if _, ok := tbl.Find("host-480.example", "GET", "/area-480/part-3/rest"); !ok {
			t.Fatal("not found")
		}
	})
	if n > 0 {
		t.Errorf("%.1f allocations a lookup", n)
	}
}

// BenchmarkFind shows how the lookup grows with the routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{480, 4800, 48000} {
		tbl := table(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tbl.Find("host-480.example", "GET", "/area-480/part-3/rest")
			}
		})
	}
}

// FuzzFind looks for a path that breaks the lookup or escapes its prefix.
func FuzzFind(f *testing.F) {
	tbl := NewTable([]spec.Service{{Name: "a", Routes: []spec.Route{{Path: "/a/b"}}}})
	f.Add("h", "GET", "/a/b/c")
	f.Fuzz(func(t *testing.T, host, method, path string) {
		m, ok := tbl.Find(host, method, path)
		if ok && m.Service.Name != "a" {
			t.Fatal("another service")
		}
	})
}

func pool(near, far int) Pool {
	var list []Candidate
	for n := range near + far {
		c := Candidate{Key: view.Key{Node: fmt.Sprint("n", n), ID: "i"}, Center: "far"}
		if n < near {
			c.Center = "here"
		}
		list = append(list, c)
	}
	return NewPool(view.VersionedService{Service: spec.Service{Slots: 4}}, "here", list)
}

// TestChoose prefers the own data centre, spills by load, and avoids at most
// as many instances as the floor spares.
func TestChoose(t *testing.T) {
	p := pool(2, 2)
	b := NewBook()
	count := func(spare int) map[Why]int {
		p.Spare = spare
		whys := map[Why]int{}
		for n := range uint64(100) {
			c, ok := Choose(p, b, Request{Random: n * 0x9E3779B97F4A7C15})
			if !ok {
				t.Fatal("no choice")
			}
			whys[c.Why]++
		}
		return whys
	}
	if got := count(2); got[Near] != 100 {
		t.Errorf("with free slots near by: %v", got)
	}
	for n := range 2 {
		b.Change(p.Candidates[n].Key, func(l *Load) { l.Busy = 4 })
	}
	if got := count(2); got[Spill] != 100 {
		t.Errorf("without free slots near by: %v", got)
	}
	for n := range 4 {
		b.Change(p.Candidates[n].Key, func(l *Load) { l.Busy, l.Blocked = 0, time.Hour })
	}
	seen := map[view.Key]bool{}
	p.Spare = 2
	for n := range uint64(100) {
		c, _ := Choose(p, b, Request{Random: n * 0x9E3779B97F4A7C15})
		seen[c.Candidate.Key] = true
	}
	if len(seen) != 2 {
		t.Errorf("all of 4 are suspect and 2 may be spared: %d are used", len(seen))
	}
}

// BenchmarkChoose shows how the choice grows with the instances.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 59, 2000} {
		p := pool(n/4, n-n/4)
		book := NewBook()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			seq := uint64(0)
			for b.Loop() {
				seq++
				Choose(p, book, Request{Random: seq * 0x9E3779B97F4A7C15})
			}
		})
	}
}

// BenchmarkHint is the hint that goes along with each request.
func BenchmarkHint(b *testing.B) {
	p := pool(20, 39)
	book := NewBook()
	for n, c := range p.Candidates {
		book.Change(c.Key, func(l *Load) { l.Good = time.Duration(n) })
	}
	b.ReportAllocs()
	for b.Loop() {
		HintOf(p, book)
	}
}

// TestGivenUp keeps attempts that were given up out of the median: their
// times grow with what the median lets a request wait.
func TestGivenUp(t *testing.T) {
	b := NewBook()
	keys := []view.Key{{Node: "n", ID: "a"}, {Node: "n", ID: "b"}}
	p := Pool{}
	for _, k := range keys {
		p.Candidates = append(p.Candidates, Candidate{Key: k})
		b.Change(k, func(l *Load) { *l = l.WithTook(0, time.Millisecond) })
	}
	for range 20 {
		b.Change(keys[0], func(l *Load) { *l = l.WithAtLeast(3*HintOf(p, b).Median + 15*time.Millisecond) })
	}
	if got := HintOf(p, b).Median; got != time.Millisecond {
		t.Errorf("the median went from 1ms to %v", got)
	}
	if b.Load(keys[0]).Took <= b.Load(keys[1]).Took {
		t.Error("the instance that was given up looks as quick as the other")
	}
}

// TestOldLoad chooses an instance again some time after it was last told to be
// busy: only an answer of its own could tell that it is not.
func TestOldLoad(t *testing.T) {
	b := NewBook()
	p := Pool{Slots: 4, Near: 2, Candidates: []Candidate{{Key: view.Key{ID: "a"}}, {Key: view.Key{ID: "b"}}}}
	b.Change(view.Key{ID: "a"}, func(l *Load) { l.Took = 40 * time.Millisecond })
	b.Change(view.Key{ID: "b"}, func(l *Load) { l.Took, l.Busy = 20*time.Millisecond, 3 })
	cases := []struct {
		at   time.Duration
		want string
	}{{0, "a"}, {_busyLife / 2, "a"}, {_busyLife, "b"}, {time.Hour, "b"}}
	for _, c := range cases {
		choice, _ := Choose(p, b, Request{At: c.at, Random: 7})
		if got := choice.Candidate.Key.ID; got != c.want {
			t.Errorf("%v after it was told: %s, want %s", c.at, got, c.want)
		}
	}
}
