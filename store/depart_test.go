package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// TestDepartures checks that an instance that has left stays so when its node registers
// again, through a snapshot too, that a later start is in service, and that departures end.
func TestDepartures(t *testing.T) {
	m := New(Config{})
	apply := func(at time.Duration, c Command) {
		m, _ = m.Apply(Entry{Index: m.Index() + 1, At: at, Command: c})
	}
	key := view.Key{Node: "n1", ID: "i"}
	register := func(at time.Duration, epoch uint64, born int64) bool {
		apply(at, RegisterMember{
			Member:    view.Member{Node: "n1", Epoch: epoch, Addr: "127.0.0.1:1", Reachability: view.Reachable},
			Instances: []view.Instance{{ID: "i", Service: "s", Addr: "127.0.0.1:2", Born: born}},
		})
		i, _ := m.View().Instance(key)
		return i.Leaving
	}
	if register(0, 1, 100) {
		t.Error("leaving before its departure")
	}
	apply(0, RecordDeparture{Key: key, Born: 100})
	if i, _ := m.View().Instance(key); !i.Leaving {
		t.Error("in service after its departure")
	}
	if !register(time.Second, 2, 100) {
		t.Error("in service after a restart of its node")
	}
	data, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	if m, err = Load(Config{}, data); err != nil {
		t.Fatal(err)
	}
	if !register(time.Second, 3, 100) {
		t.Error("in service after a snapshot and a restart of its node")
	}
	if register(2*time.Second, 4, 200) {
		t.Error("leaving after it started again")
	}
	apply(_departureTTL, AdvanceClock{})
	if register(_departureTTL, 5, 100) || len(m.View().Departures()) != 0 || len(m.departures) != 0 {
		t.Errorf("departures after their time: %v", m.View().Departures())
	}
}

// TestDeparturesAreBounded checks that the oldest departures give way.
func TestDeparturesAreBounded(t *testing.T) {
	const excess = 10
	m := New(Config{})
	for n := range _maxDepartures + excess {
		c := RecordDeparture{Key: view.Key{Node: "n", ID: fmt.Sprint(n)}, Born: 1}
		m, _ = m.Apply(Entry{Index: m.Index() + 1, Command: c})
	}
	v := m.View()
	data, err := Codec.Encode(v.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes a departure in a snapshot", len(data)/_maxDepartures)
	if n := len(v.Departures()); n != _maxDepartures || len(m.departures) != n {
		t.Errorf("%d departures in the view, %d recorded", n, len(m.departures))
	}
	if v.HasLeft(view.Key{Node: "n", ID: fmt.Sprint(excess - 1)}, 1) || !v.HasLeft(view.Key{Node: "n", ID: fmt.Sprint(excess)}, 1) {
		t.Error("the oldest departures are not the ones forgotten")
	}
}
