package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// ejected registers ten instances of a service and ejects as many as the arbiter
// grants, with requests far enough apart that they do not look like a shared cause.
func ejected(m *Model) []view.Key {
	for n := range 10 {
		applyAll(m, RegisterMember{Member: member(fmt.Sprint("n", n), 1), Instances: []view.Instance{instance("a")}})
	}
	m.at += time.Second
	var keys []view.Key
	for n := range 10 {
		key := view.Key{Node: fmt.Sprint("n", n), ID: "a"}
		eject := EjectInstance{Key: key, Epoch: 1, TTL: time.Hour}
		applyAll(m, eject)
		m.at += time.Second
		if _, granted := applyAll(m, eject).(EjectionGranted); granted {
			keys = append(keys, key)
		}
		m.at += time.Minute
	}
	return keys
}

// TestEjectionsKeepShare checks that a floor declared as a share of a service's
// instances binds its ejections, whether the share was declared before or after the
// instances came.
func TestEjectionsKeepShare(t *testing.T) {
	declared := service("s", 0)
	declared.Share = 0.7
	for _, before := range []bool{true, false} {
		m := New(Config{})
		if before {
			applyAll(&m, PutService{Match: AnyRev, Service: declared})
		} else {
			applyAll(&m, PutService{Match: AnyRev, Service: service("s", 0)},
				RegisterMember{Member: member("n0", 1), Instances: []view.Instance{instance("a")}},
				PutService{Match: AnyRev, Service: declared})
		}
		if got := len(ejected(&m)); got != 3 {
			t.Errorf("declared before the instances: %t: %d of 10 ejected, want 3", before, got)
		}
	}
}

// TestEjectionEndsWhenAnotherLeaves checks that watchers learn that an ejection has
// ended, from a revision after that of its grant, once another instance leaves.
func TestEjectionEndsWhenAnotherLeaves(t *testing.T) {
	m := New(Config{})
	declared := service("s", 0)
	declared.Share = 0.7
	applyAll(&m, PutService{Match: AnyRev, Service: declared})
	keys := ejected(&m)
	granted := m.Index()
	applyAll(&m, RegisterInstance{Node: "n9", Epoch: 1, Instance: instance("a").WithLeaving()})
	events, ok := m.Since(granted)
	if !ok {
		t.Fatal("the events are gone")
	}
	restored := 0
	for _, e := range events {
		if c, ok := e.Change.(view.InstanceRestored); ok && e.Rev > granted {
			restored++
			if c.Key != keys[0] || m.View().Ejected(c.Key) {
				t.Errorf("restored %v, want %v", c.Key, keys[0])
			}
		}
	}
	if restored != 1 {
		t.Errorf("%d ejections ended, want 1", restored)
	}
}
