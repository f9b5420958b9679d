package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_nodes   = 300
	_service = "lookup"
)

// peerNetwork is a set of nodes that gossip without control hosts and start with the
// same view.
type peerNetwork struct {
	models    []Model
	control   store.Model
	maxRumors int // largest number of rumors in one reply
}

func newPeerNetwork(n int) *peerNetwork {
	p := &peerNetwork{control: store.New(store.Config{})}
	p.submit(store.Bootstrap{Cluster: 1, Groups: 1})
	for i := range n {
		p.submit(store.RegisterMember{Member: member(i, 1)})
	}
	for i := range n {
		m := New(Config{Node: member(i, 1).Node, Addr: member(i, 1).Addr})
		m, _ = m.Update(DeltaMsg{Source: Peer, Delta: deltaSince(p.control, 0)})
		p.models = append(p.models, m)
	}
	return p
}

func (p *peerNetwork) submit(c store.Command) {
	p.control, _ = p.control.Apply(store.Entry{Index: p.control.Index() + 1, Command: c})
}

func member(n int, epoch uint64) view.Member {
	return view.Member{
		Node: fmt.Sprint("n", n), Epoch: epoch, Center: "d", Addr: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1), Reachability: view.Reachable,
	}
}

func instance(n int) view.Instance {
	return view.Instance{ID: fmt.Sprint("i", n), Service: _service, Addr: fmt.Sprintf("10.1.1.1:%d", 8000+n)}
}

// gossip lets every node pull once from a random peer.
func (p *peerNetwork) gossip(at time.Duration) {
	byAddr := map[string]int{}
	for i := range p.models {
		byAddr[member(i, 1).Addr] = i
	}
	for i := range p.models {
		m, cmds := p.models[i].Update(TickMsg{At: at})
		for _, cmd := range cmds {
			pull, ok := cmd.(PullCmd)
			if !ok {
				continue
			}
			reply := p.models[byAddr[pull.Addr]].HandlePull(pull.Pull)
			p.maxRumors = max(p.maxRumors, len(reply.Rumors))
			m, _ = m.Update(DeltaMsg{At: at, Source: Peer, Addr: pull.Addr, Delta: reply})
		}
		p.models[i] = m
	}
}

func (p *peerNetwork) countInformed() int {
	n := 0
	for _, m := range p.models {
		if len(m.Rumors(_service)) > 0 {
			n++
		}
	}
	return n
}

// TestRumor checks that while no control host is available, a new instance of one of
// 300 nodes reaches every node by gossip within 20 rounds (14 s), and that the rumor
// is deleted once the view contains the instance.
func TestRumor(t *testing.T) {
	p := newPeerNetwork(_nodes)
	p.models[0], _ = p.models[0].Update(LocalInstancesMsg{Member: member(0, 1), Instances: []view.Instance{instance(0)}})
	rounds := 0
	for p.countInformed() < _nodes && rounds < 20 {
		rounds++
		p.gossip(time.Duration(rounds) * _defaultGossipInterval)
	}
	t.Logf("%d nodes informed after %d rounds", p.countInformed(), rounds)
	if p.countInformed() < _nodes {
		t.Fatalf("%d of %d nodes informed after %d rounds", p.countInformed(), _nodes, rounds)
	}
	p.submit(store.RegisterMember{Member: member(0, 1), Instances: []view.Instance{instance(0)}})
	for i := range p.models {
		p.models[i], _ = p.models[i].Update(DeltaMsg{Source: Peer, Delta: deltaSince(p.control, p.models[i].View().Rev)})
	}
	if n := p.countInformed(); n > 0 {
		t.Errorf("%d nodes keep a rumor that the view supersedes", n)
	}
}

// TestRumorCost bounds the size of the rumors in a reply when every node has one.
func TestRumorCost(t *testing.T) {
	const budget = 5000 * 3 / 2 // bytes: half of the 5 KB/s budget over three seconds
	p := newPeerNetwork(100)
	for i := range p.models {
		p.models[i], _ = p.models[i].Update(LocalInstancesMsg{Member: member(i, 1), Instances: []view.Instance{instance(i)}})
	}
	for round := range 20 {
		p.gossip(time.Duration(round+1) * _defaultGossipInterval)
	}
	data, err := proto.Codec.Encode(proto.Delta{Rumors: p.models[0].rumorsToSend(true)[:p.maxRumors]})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d rumors, %d bytes", p.maxRumors, len(data))
	if len(data) > budget {
		t.Errorf("a reply carries %d bytes of rumors, budget %d", len(data), budget)
	}
}

// TestRumorOrder checks that an older rumor about an instance, one from a superseded
// epoch of a node, and one about the receiving node itself are ignored.
func TestRumorOrder(t *testing.T) {
	p := newPeerNetwork(3)
	p.submit(store.RegisterMember{Member: member(2, 5)})
	m := p.models[0]
	m, _ = m.Update(DeltaMsg{Source: Peer, Delta: deltaSince(p.control, m.View().Rev)})
	receive := func(node int, epoch, stamp uint64, i view.Instance) {
		d := proto.Delta{Cluster: 1, Rumors: []proto.Rumor{{Member: member(node, epoch), Timestamp: stamp, Instance: i}}}
		m, _ = m.Update(DeltaMsg{Source: Peer, Delta: d})
	}
	receive(1, 1, 7, instance(1).WithLeaving())
	receive(1, 1, 6, instance(1))
	receive(2, 4, 9, instance(2))
	receive(0, 1, 9, instance(0))
	got := m.Rumors(_service)
	if len(got) != 1 || !got[0].Instance.Leaving {
		t.Errorf("rumors %+v", got)
	}
}

// TestInvalidRumor guards against one invalid rumor that keeps a node from taking over the
// other rumors and the changes of a reply, with the codec that decodes it.
func TestInvalidRumor(t *testing.T) {
	p := newPeerNetwork(3)
	odd := instance(7)
	odd.Addr = "10.1.1.1:99999"
	p.submit(store.RegisterMember{Member: member(9, 1)})
	d := deltaSince(p.control, p.models[0].View().Rev)
	d.Rumors = []proto.Rumor{
		{Member: member(1, 1), Timestamp: 1, Instance: odd},
		{Member: member(2, 1), Timestamp: 1, Instance: instance(2)},
	}
	data, err := proto.Codec.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := proto.Codec.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	delta, _ := decoded.(proto.Delta)
	m, _ := p.models[0].Update(DeltaMsg{Source: Peer, Delta: delta})
	if got := m.Rumors(_service); len(got) != 1 || got[0].Instance != instance(2) {
		t.Errorf("rumors %+v, want only the valid one", got)
	}
	if m.View().Rev != p.control.View().Rev {
		t.Errorf("revision %d, want %d", m.View().Rev, p.control.View().Rev)
	}
}
