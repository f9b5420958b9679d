package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func newTestTable(routes int) *Table {
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

// TestFind checks the precedence of hosts, path prefixes and methods.
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

// TestFindAllocatesNothing checks that a lookup among 48,000 routes does not
// allocate.
func TestFindAllocatesNothing(t *testing.T) {
	tbl := newTestTable(48000)
	n := testing.AllocsPerRun(1000, func() {
		if _, ok := tbl.Find("host-480.example", "GET", "/area-480/part-3/rest"); !ok {
			t.Fatal("not found")
		}
	})
	if n > 0 {
		t.Errorf("%.1f allocations a lookup", n)
	}
}

// BenchmarkFind measures the lookup for different numbers of routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{480, 4800, 48000} {
		tbl := newTestTable(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tbl.Find("host-480.example", "GET", "/area-480/part-3/rest")
			}
		})
	}
}

// FuzzFind checks that no request makes the lookup panic or return a match without
// the service of the table.
func FuzzFind(f *testing.F) {
	tbl := NewTable([]spec.Service{{Name: "a", Routes: []spec.Route{{Path: "/a/b"}}}})
	f.Add("h", "GET", "/a/b/c")
	f.Fuzz(func(t *testing.T, host, method, path string) {
		m, ok := tbl.Find(host, method, path)
		if ok && m.Service.Name != "a" {
			t.Fatal("matched a service that is not in the table")
		}
	})
}

// TestPlanTable guards against requests that take the route of another path than the one
// that was sent, and against paths that find no route although a shorter prefix is there.
func TestPlanTable(t *testing.T) {
	var routes []plan.Route
	for _, path := range []string{"/", "/permits/", "/permits/2026/", "/a%2Fb/", "/a/b/", "/tail", "/tail/x", "/d//e/"} {
		routes = append(routes, plan.Route{Name: path, Host: "h", Path: path})
	}
	tbl := NewPlanTable(routes)
	cases := []struct{ path, want string }{
		{"/permits/2026/117", "/permits/2026/"},
		{"/permits/2026", "/permits/"},
		{"/permits/2026%2F117", "/permits/"},
		{"/permits//2026/", "/permits/"},
		{"/permits/../a/b/", "/permits/"},
		{"/permits", "/"},
		{"/a%2Fb/c", "/a%2Fb/"},
		{"/a%2fb/c", "/"},
		{"/a/b/c", "/a/b/"},
		{"/tailor", "/tail"},
		{"/tail/y", "/tail"},
		{"/tail/xy", "/tail/x"},
		{"/d/e/", "/"},
		{"/d//e/f", "/d//e/"},
		{"//permits/", "/"},
		{"", ""},
		{"*", ""},
	}
	for _, c := range cases {
		got := ""
		if m, ok := tbl.Find("h", "GET", c.path); ok {
			got = m.Plan.Path
		}
		if got != c.want {
			t.Errorf("%s: route %q, want %q", c.path, got, c.want)
		}
	}
}

// TestEncodedServiceRoute checks that the routes that services declare are found by the path
// that a caller can send for them, and not by one with an encoded slash.
func TestEncodedServiceRoute(t *testing.T) {
	tbl := NewTable([]spec.Service{{Name: "a", Routes: []spec.Route{{Path: "/te whāriki/rugs"}}}})
	for path, want := range map[string]bool{
		"/te%20wh%C4%81riki/rugs/1": true,
		"/te%20wh%C4%81riki%2Frugs": false,
	} {
		if _, ok := tbl.Find("h", "GET", path); ok != want {
			t.Errorf("%s: found %t", path, ok)
		}
	}
}

// FuzzPlanTable compares the table with a search through all prefixes.
func FuzzPlanTable(f *testing.F) {
	f.Add("/\n/a/\n/a/b/\n/a", "/a/b")
	f.Add("/a%2Fb/\n//\n/a//b/\n/a|", "/a|b//")
	f.Fuzz(func(t *testing.T, prefixes, path string) {
		var routes []plan.Route
		want := ""
		for _, prefix := range strings.Split(prefixes, "\n") {
			if !strings.HasPrefix(prefix, "/") {
				continue
			}
			routes = append(routes, plan.Route{Host: "h", Path: prefix})
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if m, ok := NewPlanTable(routes).Find("h", "GET", path); ok {
			got = m.Plan.Path
		}
		if got != want {
			t.Errorf("%q among %q: route %q, want %q", path, prefixes, got, want)
		}
	})
}

func newTestPool(local, remote int) Pool {
	var list []Candidate
	for n := range local + remote {
		c := Candidate{Key: view.Key{Node: fmt.Sprint("n", n), ID: "i"}, Center: "remote"}
		if n < local {
			c.Center = "local"
		}
		list = append(list, c)
	}
	return NewPool(view.VersionedService{Service: spec.Service{Slots: 4}}, "local", list)
}

// TestChoose checks that the local data centre comes first, that requests spill
// over when it is full, and that no more instances are avoided than the pool allows.
func TestChoose(t *testing.T) {
	p := newTestPool(2, 2)
	loads := NewLoadTracker()
	count := func(maxAvoided int) map[Reason]int {
		p.MaxAvoided = maxAvoided
		reasons := map[Reason]int{}
		for n := range uint64(100) {
			c, ok := Choose(p, loads, Request{Random: n * 0x9E3779B97F4A7C15})
			if !ok {
				t.Fatal("no choice")
			}
			reasons[c.Reason]++
		}
		return reasons
	}
	if got := count(2); got[ReasonLocal] != 100 {
		t.Errorf("with free local slots: %v", got)
	}
	for n := range 2 {
		loads.Update(p.Candidates[n].Key, func(l *Load) { l.Active = 4 })
	}
	if got := count(2); got[ReasonSpillover] != 100 {
		t.Errorf("without free local slots: %v", got)
	}
	for n := range 4 {
		loads.Update(p.Candidates[n].Key, func(l *Load) { l.Active, l.AvoidUntil = 0, time.Hour })
	}
	seen := map[view.Key]bool{}
	p.MaxAvoided = 2
	for n := range uint64(100) {
		c, _ := Choose(p, loads, Request{Random: n * 0x9E3779B97F4A7C15})
		seen[c.Candidate.Key] = true
	}
	if len(seen) != 2 {
		t.Errorf("all 4 are to be avoided and 2 may be: %d are used, want 2", len(seen))
	}
}

// BenchmarkChoose measures the choice for different numbers of instances.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 59, 2000} {
		p := newTestPool(n/4, n-n/4)
		loads := NewLoadTracker()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			seq := uint64(0)
			for b.Loop() {
				seq++
				Choose(p, loads, Request{Random: seq * 0x9E3779B97F4A7C15})
			}
		})
	}
}

// BenchmarkHintOf measures the hint that is sent with each request.
func BenchmarkHintOf(b *testing.B) {
	p := newTestPool(20, 39)
	loads := NewLoadTracker()
	for n, c := range p.Candidates {
		loads.Update(c.Key, func(l *Load) { l.SuccessLatency = time.Duration(n) })
	}
	b.ReportAllocs()
	for b.Loop() {
		HintOf(p, loads)
	}
}

// TestMedianIgnoresAbandonedAttempts checks that abandoned attempts do not raise the
// median. They last a multiple of it, so it would grow without bound.
func TestMedianIgnoresAbandonedAttempts(t *testing.T) {
	loads := NewLoadTracker()
	keys := []view.Key{{Node: "n", ID: "a"}, {Node: "n", ID: "b"}}
	p := Pool{}
	for _, k := range keys {
		p.Candidates = append(p.Candidates, Candidate{Key: k})
		loads.Update(k, func(l *Load) { *l = l.WithLatency(0, time.Millisecond) })
	}
	for range 20 {
		loads.Update(keys[0], func(l *Load) { *l = l.WithMinLatency(3*HintOf(p, loads).Median + 15*time.Millisecond) })
	}
	if got := HintOf(p, loads).Median; got != time.Millisecond {
		t.Errorf("median is %v after abandoned attempts, want 1ms", got)
	}
	if loads.Load(keys[0]).Latency <= loads.Load(keys[1]).Latency {
		t.Error("latency of the instance with abandoned attempts did not rise")
	}
}

// TestChooseIgnoresStaleLoad checks that an instance reported busy is chosen again
// after a while. Only its own responses update the report, so it would otherwise get
// no requests for ever.
func TestChooseIgnoresStaleLoad(t *testing.T) {
	loads := NewLoadTracker()
	p := Pool{Slots: 4, LocalCount: 2, Candidates: []Candidate{{Key: view.Key{ID: "a"}}, {Key: view.Key{ID: "b"}}}}
	loads.Update(view.Key{ID: "a"}, func(l *Load) { l.Latency = 40 * time.Millisecond })
	loads.Update(view.Key{ID: "b"}, func(l *Load) { l.Latency, l.Active = 20*time.Millisecond, 3 })
	cases := []struct {
		at   time.Duration
		want string
	}{{0, "a"}, {_loadMaxAge / 2, "a"}, {_loadMaxAge, "b"}, {time.Hour, "b"}}
	for _, c := range cases {
		choice, _ := Choose(p, loads, Request{At: c.at, Random: 7})
		if got := choice.Candidate.Key.ID; got != c.want {
			t.Errorf("%v after the report: %s, want %s", c.at, got, c.want)
		}
	}
}
