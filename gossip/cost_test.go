package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_step           = 100 * time.Millisecond
	_hosts          = 5
	_members        = 50              // registered nodes; every node holds a view, so memory grows with nodes * members
	_changes        = 32000.0 / 86400 // per second
	_churn          = 130000.0 / 86400
	_budget         = 5000 // bytes per second and node
	_maxPropagation = 16 * time.Second
	_headerBytes    = 600 // headers of a request and its reply
	_beatBytes      = 700 // a heartbeat and its reply, every two seconds
)

// simulation runs nodes and control hosts that exchange messages with the real codec.
type simulation struct {
	t        testing.TB
	now      time.Duration
	control  store.Model
	stale    store.Model // the state of the isolated control host
	isolated string
	nodes    []Model
	waiting  []PullCmd       // per node: its pending pull at a control host, or the zero value
	since    []time.Duration // per node: when waiting was sent
	bytes    int
	messages int
}

func newSimulation(t testing.TB, nodes int) *simulation {
	s := &simulation{t: t, control: store.New(store.Config{})}
	s.submit(store.Bootstrap{Cluster: 1})
	var hosts []string
	for n := range _hosts {
		hosts = append(hosts, fmt.Sprint("c", n))
	}
	for n := range nodes {
		name := fmt.Sprint("n", n)
		s.nodes = append(s.nodes, New(Config{Node: name, Addr: addr(n), Control: hosts}))
		if n >= _members {
			continue
		}
		s.submit(store.RegisterMember{
			Member:    view.Member{Node: name, Epoch: 1, Center: fmt.Sprint("d", n%11), Addr: addr(n), Reachability: view.Reachable},
			Instances: instances(n, 1),
		})
	}
	s.waiting = make([]PullCmd, nodes)
	s.since = make([]time.Duration, nodes)
	return s
}

func instances(node, n int) []view.Instance {
	var list []view.Instance
	for i := range n {
		list = append(list, view.Instance{
			ID: fmt.Sprintf("i-%d-%d", node, i), Service: fmt.Sprint("s", (node+i)%3400), Addr: fmt.Sprintf("10.0.0.1:%d", 9000+i),
		})
	}
	return list
}

func addr(n int) string { return fmt.Sprintf("10.1.%d.%d:7000", n/250, n%250) }

func (s *simulation) submit(c store.Command) uint64 {
	s.control, _ = s.control.Apply(store.Entry{Index: s.control.Index() + 1, At: s.now, Command: c})
	return s.control.View().Rev
}

// count adds the encoded size of a message.
func (s *simulation) count(msg any) {
	data, err := proto.Codec.Encode(msg)
	if err != nil {
		s.t.Fatal(err)
	}
	s.bytes += len(data)
	s.messages++
}

func (s *simulation) tick() {
	s.now += _step
	for n := range s.nodes {
		s.update(n, TickMsg{At: s.now})
		s.poll(n)
	}
}

func (s *simulation) update(n int, msg Msg) {
	model, cmds := s.nodes[n].Update(msg)
	s.nodes[n] = model
	for _, cmd := range cmds {
		pull, ok := cmd.(PullCmd)
		if !ok {
			continue
		}
		s.count(pull.Pull)
		s.bytes += _headerBytes
		if pull.Source == Peer {
			s.reply(n, pull, s.nodes[nodeAt(pull.Addr)].HandlePull(pull.Pull))
			continue
		}
		s.waiting[n], s.since[n] = pull, s.now
	}
}

// poll replies to a pending pull at a control host if there are changes or its timeout
// has passed.
func (s *simulation) poll(n int) {
	pull := s.waiting[n]
	if pull.Addr == "" {
		return
	}
	host := s.control
	if pull.Addr == s.isolated {
		host = s.stale
	}
	if host.View().Rev <= pull.Pull.Rev && s.now < s.since[n]+pull.Pull.Wait {
		return
	}
	s.waiting[n] = PullCmd{}
	d := proto.Delta{Cluster: 1, From: pull.Pull.Rev, Rev: host.View().Rev, Current: pull.Addr != s.isolated}
	events, ok := host.Since(pull.Pull.Rev)
	d.Events = events
	if !ok && pull.Pull.Rev < host.View().Rev {
		snapshot := host.View().Snapshot()
		d.Snapshot = &snapshot
	}
	s.reply(n, pull, d)
}

func (s *simulation) reply(n int, pull PullCmd, d proto.Delta) {
	s.count(d)
	s.update(n, DeltaMsg{At: s.now, Source: pull.Source, Addr: pull.Addr, Delta: d})
}

func nodeAt(a string) int {
	var x, y, port int
	_, _ = fmt.Sscanf(a, "10.1.%d.%d:%d", &x, &y, &port)
	return 250*x + y
}

func (s *simulation) countBehind(rev uint64) int {
	n := 0
	for _, m := range s.nodes {
		if m.View().Rev < rev {
			n++
		}
	}
	return n
}

// TestCost checks that with 2,100 nodes and the planned rates of changes and restarts
// the control traffic stays within its budget, and that a change reaches every node
// within 16 s while any one of five control hosts is isolated.
func TestCost(t *testing.T) {
	sizes := []int{10, 100}
	if !testing.Short() {
		sizes = append(sizes, 2100)
	}
	for _, size := range sizes {
		s := newSimulation(t, size)
		for s.countBehind(s.control.View().Rev) > 0 && s.now < time.Minute {
			s.tick()
		}
		joined := s.bytes
		s.bytes, s.messages = 0, 0
		start, slowest := s.now, time.Duration(0)
		for s.now < start+time.Minute {
			s.applyChurn()
			s.tick()
		}
		rate := float64(s.bytes)/60/float64(size) + _beatBytes/2
		messages := float64(s.messages) / 60 / float64(size)
		for n := range _hosts {
			s.isolate(fmt.Sprint("c", n))
			slowest = max(slowest, s.measurePropagation())
		}
		t.Logf("%d nodes: %.0f bytes/s and %.1f messages/s per node, %d bytes per node to join, changes reach all nodes within %v",
			size, rate, messages, joined/size, slowest)
		if rate > _budget || slowest > _maxPropagation {
			t.Errorf("%d nodes: %.0f bytes/s (budget %d), changes reach all nodes within %v (limit %v)", size, rate, _budget, slowest, _maxPropagation)
		}
	}
}

// applyChurn submits the configuration changes and instance restarts of one step.
func (s *simulation) applyChurn() {
	every := func(rate float64) bool {
		before := int(rate * (s.now - _step).Seconds())
		return int(rate*s.now.Seconds()) > before
	}
	if every(_changes) {
		s.submit(store.PutService{Match: store.AnyRev, Service: service(int(s.now / _step))})
	}
	if every(_churn / 2) {
		n := int(s.now/_step) % min(_members, len(s.nodes))
		i := instances(n, 1)[0]
		name := fmt.Sprint("n", n)
		s.submit(store.DeregisterInstance{Key: view.Key{Node: name, ID: i.ID}, Epoch: 1})
		s.submit(store.RegisterInstance{Node: name, Epoch: 1, Instance: i})
	}
}

// isolate freezes the state of one control host.
func (s *simulation) isolate(host string) {
	data, err := s.control.Save()
	if err != nil {
		s.t.Fatal(err)
	}
	s.stale, err = store.Load(store.Config{}, data)
	if err != nil {
		s.t.Fatal(err)
	}
	s.isolated = host
}

// measurePropagation returns how long one change takes to reach all nodes.
func (s *simulation) measurePropagation() time.Duration {
	start := s.now
	rev := s.submit(store.PutService{Match: store.AnyRev, Service: service(1)})
	for s.countBehind(rev) > 0 && s.now < start+time.Minute {
		s.tick()
	}
	return s.now - start
}

func service(n int) spec.Service {
	return spec.Service{
		Name: fmt.Sprint("s", n%3400), Floor: 40, Size: 59, Patience: spec.Sure,
		Routes: []spec.Route{{Host: "permits.example", Path: "/check"}, {Path: "/renew", Method: "POST", Once: true}},
	}.WithDefaults()
}
