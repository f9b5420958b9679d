package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// applyAll applies commands in order and returns the last result.
func applyAll(m *Model, commands ...Command) Result {
	var result Result
	for _, c := range commands {
		*m, result = m.Apply(Entry{Index: m.Index() + 1, At: m.At() + time.Millisecond, Command: c})
	}
	return result
}

func service(name string, floor int) spec.Service {
	return spec.Service{
		Name: name, Floor: floor, Patience: spec.Quick, Warmup: spec.Duration(time.Nanosecond), Routes: []spec.Route{{Path: "/"}},
	}.WithDefaults()
}

func member(node string, epoch uint64) view.Member {
	return view.Member{Node: node, Epoch: epoch, Center: "d", Addr: "127.0.0.1:1", Reachability: view.Reachable}
}

func instance(id string) view.Instance {
	return view.Instance{ID: id, Service: "s", Addr: "127.0.0.1:2"}
}

// TestRequestDeduplication checks that a retried operator request gets the first
// result, also after a snapshot.
func TestRequestDeduplication(t *testing.T) {
	m := New(Config{})
	first := applyAll(&m, PutService{Request: "r", Match: 0, Service: service("s", 1)})
	second := applyAll(&m, PutService{Request: "r", Match: 0, Service: service("s", 1)})
	if first != second {
		t.Errorf("results %v and %v", first, second)
	}
	data, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	m, err = Load(Config{}, data)
	if err != nil {
		t.Fatal(err)
	}
	if third := applyAll(&m, PutService{Request: "r", Match: 0, Service: service("s", 1)}); third != first {
		t.Errorf("results %v and %v after a snapshot", first, third)
	}
	if other := applyAll(&m, PutService{Request: "q", Match: 0, Service: service("s", 1)}); other != (Conflict{Rev: 1}) {
		t.Errorf("stale write: result %v, want a conflict", other)
	}
}

// TestWatch checks that a watcher resumes from any revision without a gap or a
// duplicate, and learns when it is too far behind and needs a snapshot.
func TestWatch(t *testing.T) {
	m := New(Config{History: 10})
	for n := range 100 {
		applyAll(&m, PutService{Match: AnyRev, Service: service(fmt.Sprint("s", n%3), 0)})
	}
	if _, ok := m.Since(5); ok {
		t.Error("a watcher too far behind was given events")
	}
	for from := uint64(90); from <= 100; from++ {
		events, ok := m.Since(from)
		if !ok || len(events) != int(100-from) {
			t.Fatalf("%d events from %d", len(events), from)
		}
		for n, e := range events {
			if e.Rev != from+uint64(n)+1 {
				t.Fatalf("event %d from %d has revision %d", n, from, e.Rev)
			}
		}
	}
}

// TestFloorCountsUnavailable checks that leaving, unreachable, removed and
// restarted instances do not count as healthy towards the floor, also after a
// snapshot.
func TestFloorCountsUnavailable(t *testing.T) {
	cases := []struct {
		name    string
		command Command
	}{
		{"leaving", RegisterInstance{Node: "n1", Epoch: 1, Instance: instance("a").WithLeaving()}},
		{"unreachable", SetReachability{Node: "n1", Epoch: 1, Reachability: view.Unreachable}},
		{"deregistered", DeregisterInstance{Key: view.Key{Node: "n1", ID: "a"}, Epoch: 1}},
		{"restarted", RegisterMember{Member: member("n1", 2)}},
	}
	for _, c := range cases {
		m := New(Config{})
		applyAll(&m, PutService{Match: AnyRev, Service: service("s", 2)})
		for _, node := range []string{"n1", "n2", "n3"} {
			applyAll(&m, RegisterMember{Member: member(node, 1), Instances: []view.Instance{instance("a")}})
		}
		applyAll(&m, c.command)
		data, err := m.Save()
		if err != nil {
			t.Fatal(err)
		}
		if m, err = Load(Config{}, data); err != nil {
			t.Fatal(err)
		}
		eject := EjectInstance{Key: view.Key{Node: "n2", ID: "a"}, Epoch: 1, TTL: time.Second}
		applyAll(&m, eject)
		m.at += time.Second
		if result := applyAll(&m, eject); result != (EjectionRefused{Reason: "floor"}) {
			t.Errorf("%s: ejection result %+v, want refused", c.name, result)
		}
	}
}

// TestStaleEpoch checks that commands from an earlier epoch of a node are refused.
func TestStaleEpoch(t *testing.T) {
	m := New(Config{})
	applyAll(&m, RegisterMember{Member: member("n1", 2), Instances: []view.Instance{instance("a")}})
	stale := []Command{
		RegisterMember{Member: member("n1", 1)},
		RegisterInstance{Node: "n1", Epoch: 1, Instance: instance("b")},
		DeregisterInstance{Key: view.Key{Node: "n1", ID: "a"}, Epoch: 1},
		EjectInstance{Key: view.Key{Node: "n1", ID: "a"}, Epoch: 1},
		RemoveMember{Node: "n1", Epoch: 1},
	}
	for _, c := range stale {
		if result := applyAll(&m, c); result != (Stale{}) {
			t.Errorf("%T: result %v, want stale", c, result)
		}
	}
	if n := len(m.View().InstancesOf("n1")); n != 1 {
		t.Errorf("%d instances", n)
	}
}

// BenchmarkClaim measures encoding, decoding and applying one claim.
func BenchmarkClaim(b *testing.B) {
	m := New(Config{})
	b.ReportAllocs()
	size := 0
	for n := range b.N {
		data, err := Codec.Encode(Entry{At: time.Duration(n), Command: Claim{
			Key: fmt.Sprint("certifier/", n), Digest: uint64(n), Holder: "node-1.1796361706991.7", TTL: time.Minute,
		}})
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
		msg, err := Codec.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		e, _ := msg.(Entry)
		e.Index = uint64(n + 1)
		m, _ = m.Apply(e)
	}
	b.ReportMetric(float64(size), "bytes/claim")
}

// BenchmarkSnapshot measures encoding the state at the planned size, 2,100 members
// with 95 instances each.
func BenchmarkSnapshot(b *testing.B) {
	m := New(Config{})
	for n := range 2100 {
		var list []view.Instance
		for i := range 95 {
			list = append(list, view.Instance{
				ID: fmt.Sprintf("instance-%d-%d", n, i), Service: fmt.Sprintf("service-%d", (n*95+i)%3400), Addr: fmt.Sprintf("10.2.1.1:%d", 9000+i),
			})
		}
		applyAll(&m, RegisterMember{Member: member(fmt.Sprint("node-", n), 1), Instances: list})
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := m.Save()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/199500, "bytes/instance")
}

// TestBootstrapOnce checks that the cluster ID is never replaced: a leader that has
// not yet applied its log may submit another one.
func TestBootstrapOnce(t *testing.T) {
	m := New(Config{})
	applyAll(&m, Bootstrap{Cluster: 7, Groups: 4}, Bootstrap{Cluster: 8, Groups: 5})
	if v := m.View(); v.Cluster != 7 || v.Groups != 4 || v.Rev != 1 {
		t.Errorf("cluster %d with %d groups at revision %d", v.Cluster, v.Groups, v.Rev)
	}
}

// TestBootstrapGroup checks that only one host may ever bootstrap a claim group,
// also after a snapshot.
func TestBootstrapGroup(t *testing.T) {
	m := New(Config{})
	cases := []struct {
		host    uint64
		granted bool
	}{{7, true}, {8, false}, {7, true}}
	for _, c := range cases {
		if _, granted := applyAll(&m, BootstrapGroup{Group: 3, Host: c.host}).(Written); granted != c.granted {
			t.Errorf("host %d: granted is %v", c.host, granted)
		}
	}
	data, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	if m, err = Load(Config{}, data); err != nil {
		t.Fatal(err)
	}
	if _, granted := applyAll(&m, BootstrapGroup{Group: 3, Host: 8}).(Written); granted {
		t.Error("a second host may bootstrap the group after a snapshot")
	}
}
