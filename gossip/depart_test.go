package gossip

import (
	"testing"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestDepartureOutlivesEpoch checks that an instance that has left stays so for the nodes
// that have heard it, whatever its node says after a restart and in whichever order the
// rumors come, and that a later start of the instance is in service.
func TestDepartureOutlivesEpoch(t *testing.T) {
	born := func(at int64) view.Instance {
		i := instance(1)
		i.Born = at
		return i
	}
	type heard struct {
		epoch, stamp uint64
		instance     view.Instance
	}
	left := heard{1, 7, born(100).WithLeaving()}
	cases := []struct {
		name    string
		heard   []heard
		leaving bool
	}{
		{"left", []heard{left}, true},
		{"ready before", []heard{{1, 6, born(100)}, left}, true},
		{"ready before, heard late", []heard{left, {1, 6, born(100)}}, true},
		{"ready after a restart of the node", []heard{left, {2, 1, born(100)}}, true},
		{"heard after a restart of the node", []heard{{2, 1, born(100)}, left}, true},
		{"two restarts of the node", []heard{left, {2, 1, born(100)}, {3, 1, born(100)}}, true},
		{"a later start", []heard{left, {1, 8, born(200)}}, false},
		{"a later start after a restart of the node", []heard{left, {2, 1, born(200)}}, false},
		{"a later start, departure heard late", []heard{{2, 1, born(200)}, left}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPeerNetwork(3)
			m := p.models[0]
			for _, h := range c.heard {
				r := proto.Rumor{Member: member(1, h.epoch), Timestamp: h.stamp, Instance: h.instance}
				m, _ = m.Update(RumorMsg{Rumor: r})
			}
			got := m.Rumors(_service)
			if len(got) != 1 || got[0].Instance.Leaving != c.leaving {
				t.Fatalf("rumors %+v, want one, leaving %t", got, c.leaving)
			}
			if !c.leaving {
				return
			}
			// The control hosts learn of the node's restart, but not of the departure.
			p.submit(store.RegisterMember{Member: member(1, 9), Instances: []view.Instance{born(100)}})
			m, _ = m.Update(DeltaMsg{Source: Peer, Delta: deltaSince(p.control, m.View().Rev)})
			if got := m.Rumors(_service); len(got) != 1 || !got[0].Instance.Leaving {
				t.Errorf("after the node's registration: rumors %+v", got)
			}
			p.submit(store.RecordDeparture{Key: view.Key{Node: member(1, 9).Node, ID: instance(1).ID}, Born: 100})
			m, _ = m.Update(DeltaMsg{Source: Peer, Delta: deltaSince(p.control, m.View().Rev)})
			i, _ := m.View().Instance(view.Key{Node: member(1, 9).Node, ID: instance(1).ID})
			if got := m.Rumors(_service); len(got) != 0 || !i.Leaving {
				t.Errorf("after it was recorded: rumors %+v, instance %+v", got, i)
			}
		})
	}
}

// TestOwnDeparture checks that a node that has restarted learns from its peers which of its
// instances have left.
func TestOwnDeparture(t *testing.T) {
	p := newPeerNetwork(2)
	i := instance(0)
	i.Born = 100
	r := proto.Rumor{Member: member(0, 1), Timestamp: 7, Instance: i.WithLeaving()}
	m, cmds := p.models[0].Update(RumorMsg{Rumor: r})
	if m.Departures()[i.ID] != 100 || len(cmds) != 1 {
		t.Errorf("departures %v, commands %v", m.Departures(), cmds)
	}
}
