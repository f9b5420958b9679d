package gossip

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
)

// TestViewIsMonotonic checks that a view never goes back or skips a change, whatever
// deltas of outdated, restored or foreign sources arrive, in any order.
func TestViewIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// past holds the state of a control host at each revision. The short history
		// forces snapshots.
		now := store.New(store.Config{History: 5})
		var past [][]byte
		submit := func(c store.Command) {
			now, _ = now.Apply(store.Entry{Index: now.Index() + 1, Command: c})
			data, err := now.Save()
			if err != nil {
				t.Fatal(err)
			}
			past = append(past, data)
		}
		submit(store.Bootstrap{Cluster: 1})
		m := New(Config{Node: "n", Control: []string{"c"}})
		for range 60 {
			if rapid.IntRange(0, 2).Draw(t, "write") == 0 {
				submit(store.PutService{Match: store.AnyRev, Service: service(rapid.IntRange(0, 3).Draw(t, "service"))})
			}
			source, err := store.Load(store.Config{}, past[rapid.IntRange(0, len(past)-1).Draw(t, "past")])
			if err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "current") {
				source = now
			}
			d := deltaSince(source, uint64(rapid.IntRange(0, int(now.View().Rev)).Draw(t, "from")))
			if rapid.IntRange(0, 9).Draw(t, "foreign") == 0 {
				d.Cluster = 2
				d.Rev += 100
			}
			before := m.View().Rev
			m, _ = m.Update(DeltaMsg{Source: Peer, Delta: d, At: time.Second})
			check(t, m, now, before)
		}
	})
}

func deltaSince(source store.Model, from uint64) proto.Delta {
	v := source.View()
	d := proto.Delta{Cluster: v.Cluster, From: from, Rev: v.Rev}
	if events, ok := source.Since(from); ok {
		d.Events = events
		return d
	}
	s := v.Snapshot()
	d.Snapshot = &s
	return d
}

// check compares the service revisions of a view with the control host's.
func check(t *rapid.T, m Model, now store.Model, before uint64) {
	if m.View().Rev < before || m.View().Rev > now.View().Rev {
		t.Fatalf("revision %d after %d, newest %d", m.View().Rev, before, now.View().Rev)
	}
	if m.View().Rev < now.View().Rev {
		return
	}
	for _, want := range now.View().Services() {
		if got, _ := m.View().Service(want.Service.Name); got.Rev != want.Rev {
			t.Fatalf("service %s at %d, want %d", want.Service.Name, got.Rev, want.Rev)
		}
	}
}
