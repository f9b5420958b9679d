package view

import (
	"fmt"
	"runtime"
	"testing"
)

// TestMemoryAtPlannedSize limits a view of the planned size to a third of a node's
// 128 MB, which leaves room for garbage collection and routing.
func TestMemoryAtPlannedSize(t *testing.T) {
	const limit = 128 << 20 / 3
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := plannedSizeView()
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d bytes for 199,500 instances, %d each", used, used/199500)
	if used > limit {
		t.Errorf("%d bytes, limit %d", used, limit)
	}
	runtime.KeepAlive(v)
}

// plannedSizeView returns a view of 2,100 members with 95 instances each.
func plannedSizeView() *View {
	v := New()
	for n := range 2100 {
		node := fmt.Sprint("node-", n)
		v.Apply(Event{Rev: 1, Change: MemberPut{Member: Member{Node: node, Epoch: 1, Center: fmt.Sprint("dc-", n%11), Addr: fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250)}}})
		for i := range 95 {
			v.Apply(Event{Rev: 1, Change: InstancePut{Node: node, Instance: Instance{
				ID: fmt.Sprintf("instance-%d-%d", n, i), Service: fmt.Sprintf("service-%d", (n*95+i)%3400), Addr: fmt.Sprintf("10.2.%d.%d:%d", n/250, n%250, 9000+i),
			}}})
		}
	}
	return v
}
