package spread

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

// lonely is a set of nodes without a control host; they share one view.
type lonely struct {
	models  []Model
	control store.Model
	most    int // rumors in one answer
}

func newLonely(n int) *lonely {
	l := &lonely{control: store.New(store.Config{})}
	l.submit(store.Found{Cluster: 1, Groups: 1})
	for i := range n {
		l.submit(store.Enroll{Member: member(i, 1)})
	}
	for i := range n {
		m := New(Config{Node: member(i, 1).Node, Addr: member(i, 1).Addr})
		m, _ = m.Update(DeltaMsg{Source: Peer, Delta: delta(l.control, 0)})
		l.models = append(l.models, m)
	}
	return l
}

func (l *lonely) submit(c store.Command) {
	l.control, _ = l.control.Apply(store.Entry{Index: l.control.Index() + 1, Command: c})
}

func member(n int, epoch uint64) view.Member {
	return view.Member{
		Node: fmt.Sprint("n", n), Epoch: epoch, Center: "d", Addr: fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1), Reach: view.Up,
	}
}

func server(n int) view.Instance {
	return view.Instance{ID: fmt.Sprint("i", n), Service: _service, Addr: fmt.Sprintf("10.1.1.1:%d", 8000+n)}
}

// gossip runs one pull of every node from a random peer.
func (l *lonely) gossip(at time.Duration) {
	byAddr := map[string]int{}
	for i := range l.models {
		byAddr[member(i, 1).Addr] = i
	}
	for i := range l.models {
		m, cmds := l.models[i].Update(TickMsg{At: at})
		for _, cmd := range cmds {
			pull, ok := cmd.(PullCmd)
			if !ok {
				continue
			}
			answer := l.models[byAddr[pull.Addr]].Answer(pull.Pull)
			l.most = max(l.most, len(answer.Rumors))
			m, _ = m.Update(DeltaMsg{At: at, Source: Peer, Addr: pull.Addr, Delta: answer})
		}
		l.models[i] = m
	}
}

func (l *lonely) knowing() int {
	n := 0
	for _, m := range l.models {
		if len(m.Rumors(_service)) > 0 {
			n++
		}
	}
	return n
}

// TestRumor lets one of 300 nodes announce an instance while control is away:
// every node hears of it within a minute of gossip, and forgets the rumor once
// the view tells as much.
func TestRumor(t *testing.T) {
	l := newLonely(_nodes)
	l.models[0], _ = l.models[0].Update(LocalMsg{Member: member(0, 1), Instances: []view.Instance{server(0)}})
	rounds := 0
	for l.knowing() < _nodes && rounds < 20 {
		rounds++
		l.gossip(time.Duration(rounds) * _defaultGossip)
	}
	t.Logf("%d nodes after %d rounds", l.knowing(), rounds)
	if l.knowing() < _nodes {
		t.Fatalf("%d of %d nodes know after %d rounds", l.knowing(), _nodes, rounds)
	}
	l.submit(store.Enroll{Member: member(0, 1), Instances: []view.Instance{server(0)}})
	for i := range l.models {
		l.models[i], _ = l.models[i].Update(DeltaMsg{Source: Peer, Delta: delta(l.control, l.models[i].View().Rev)})
	}
	if n := l.knowing(); n > 0 {
		t.Errorf("%d nodes keep a rumor that the view has settled", n)
	}
}

// TestRumorCost bounds what an answer may carry when every node has news.
func TestRumorCost(t *testing.T) {
	const budget = 5000 * 3 / 2 // half of 5 KB/s between two pulls
	l := newLonely(100)
	for i := range l.models {
		l.models[i], _ = l.models[i].Update(LocalMsg{Member: member(i, 1), Instances: []view.Instance{server(i)}})
	}
	for round := range 20 {
		l.gossip(time.Duration(round+1) * _defaultGossip)
	}
	data, err := proto.Codec.Encode(proto.Delta{Rumors: l.models[0].hot(true)[:l.most]})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d rumors, %d bytes", l.most, len(data))
	if len(data) > budget {
		t.Errorf("an answer carries %d bytes, budget %d", len(data), budget)
	}
}

// TestRumorOrder takes only newer rumors of an instance, and none of a start
// that the view knows to be over.
func TestRumorOrder(t *testing.T) {
	l := newLonely(3)
	l.submit(store.Enroll{Member: member(2, 5)})
	m := l.models[0]
	m, _ = m.Update(DeltaMsg{Source: Peer, Delta: delta(l.control, m.View().Rev)})
	tell := func(node int, epoch, stamp uint64, i view.Instance) {
		d := proto.Delta{Cluster: 1, Rumors: []proto.Rumor{{Member: member(node, epoch), Timestamp: stamp, Instance: i}}}
		m, _ = m.Update(DeltaMsg{Source: Peer, Delta: d})
	}
	tell(1, 1, 7, server(1).WithLeaving())
	tell(1, 1, 6, server(1))
	tell(2, 4, 9, server(2))
	tell(0, 1, 9, server(0))
	got := m.Rumors(_service)
	if len(got) != 1 || !got[0].Instance.Leaving {
		t.Errorf("rumors %+v", got)
	}
}
