package node

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// largeView returns a view of the given number of members with 95 instances each, and
// 3,400 services with 48,000 routes.
func largeView(members int) *view.View {
	v := view.New()
	for n := range 3400 {
		s := spec.Service{Name: fmt.Sprint("s", n), Floor: 40, Slots: 4}
		for i := range 14 {
			s.Routes = append(s.Routes, spec.Route{Host: fmt.Sprintf("host-%d.example", n%60), Path: fmt.Sprintf("/area-%d/part-%d", n, i)})
		}
		v.Apply(view.Event{Rev: 1, Change: view.ServicePut{Service: s}})
	}
	for n := range members {
		node := fmt.Sprint("node-", n)
		v.Apply(view.Event{Rev: 1, Change: view.MemberPut{Member: view.Member{Node: node, Epoch: 1, Center: fmt.Sprint("d", n%11), Addr: "10.1.1.1:7000"}}})
		for i := range 95 {
			v.Apply(view.Event{Rev: 1, Change: view.InstancePut{Node: node, Instance: view.Instance{
				ID: fmt.Sprintf("i-%d-%d", n, i), Service: fmt.Sprint("s", (n*95+i)%3400), Addr: fmt.Sprintf("10.2.1.1:%d", 9000+i),
			}}})
		}
	}
	return v
}

// TestUpdateCost checks that the cost of updating one service depends on the number of
// its instances and not on the size of the fleet.
func TestUpdateCost(t *testing.T) {
	allocs := map[int]float64{}
	for _, members := range []int{72, 720} {
		v := largeView(members)
		f := newFleet("d1")
		f.update(v, nil, true)
		allocs[members] = testing.AllocsPerRun(50, func() { f.update(v, []string{"s7"}, false) })
	}
	t.Logf("allocations: %v", allocs)
	if allocs[720] > 3*allocs[72]+10 {
		t.Errorf("allocations grow with the fleet: %v", allocs)
	}
}

// TestNodeMemory checks the memory of the view and the routing state at the planned
// fleet size. The limit keeps a node within 128 MB, with garbage of half the size of
// the live heap and 12 MB for everything else.
func TestNodeMemory(t *testing.T) {
	const limit = 128<<20*2/3 - 12<<20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := largeView(2100)
	f := newFleet("d1")
	f.update(v, nil, true)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d bytes", used)
	if used > limit {
		t.Errorf("%d bytes in use, limit %d", used, limit)
	}
	runtime.KeepAlive(v)
	runtime.KeepAlive(f)
}

// BenchmarkUpdate measures the update of one service at the planned fleet size.
func BenchmarkUpdate(b *testing.B) {
	v := largeView(2100)
	f := newFleet("d1")
	f.update(v, nil, true)
	b.ReportAllocs()
	for b.Loop() {
		f.update(v, []string{"s7"}, false)
	}
}

// TestChangedTimeoutInForce checks that a change of a service that leaves its routes as
// they are is in force for its requests.
func TestChangedTimeoutInForce(t *testing.T) {
	f := newFleet("mida")
	v := view.New()
	for rev, timeout := range []time.Duration{2 * time.Second, time.Minute} {
		s := spec.Service{Name: "photos", Timeout: spec.Duration(timeout), Routes: []spec.Route{{Path: "/photos"}}}.WithDefaults()
		names := v.Apply(view.Event{Rev: uint64(rev + 1), Change: view.ServicePut{Service: s}})
		f.update(v, names, false)
		match, _, ok := f.find("h", http.MethodPost, "/photos/1", 0)
		if !ok || match.Timeout() != timeout {
			t.Errorf("found %t, timeout %v, want %v", ok, match.Timeout(), timeout)
		}
	}
}
