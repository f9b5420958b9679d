package trials

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/view"
)

// formed starts control hosts and nodes and waits until all have joined.
func formed(t *testing.T, controls, nodes int) *fleet {
	f := newFleet(t, controls, nodes)
	f.startAll()
	f.awaitVoters(0, controls)
	return f
}

func (f *fleet) awaitVoters(control, n int) {
	f.eventually("voters", func() error {
		status, err := f.status(control)
		if err != nil {
			return err
		}
		voters := 0
		for _, h := range status.Hosts {
			if !h.Learner {
				voters++
			}
		}
		if voters != n || len(status.Hosts) != n || status.Leader == "" {
			return fmt.Errorf("hosts %+v, leader %q", status.Hosts, status.Leader)
		}
		return nil
	})
}

// leader returns the number of the control host that leads.
func (f *fleet) leader(ask int) int {
	found := -1
	f.eventually("leader", func() error {
		status, err := f.status(ask)
		if err != nil {
			return err
		}
		for n, c := range f.controls {
			if c.Name == status.Leader {
				found = n
				return nil
			}
		}
		return errors.New("no leader")
	})
	return found
}

func (f *fleet) service(control int, name string) (view.VersionedService, error) {
	var v view.VersionedService
	return v, f.get(control, "/v1/services/"+name, &v)
}

// TestLostLeader kills the leader: a resend of an accepted write gets the
// first result, nothing is lost, and all nodes follow.
func TestLostLeader(t *testing.T) {
	f := formed(t, 3, 2)
	rev := f.put(0, lookup(), "first")
	old := f.leader(0)
	f.kill(f.controls[old].Name)
	other := (old + 1) % 3
	if again := f.put(other, lookup(), "first"); again != rev {
		t.Errorf("the resend was revision %d, first %d", again, rev)
	}
	next := f.put(other, lookup().WithFloor(0), "second")
	if next <= rev {
		t.Errorf("revision %d after %d", next, rev)
	}
	f.startControl(old)
	f.eventually("return", func() error {
		v, err := f.service(old, "lookup")
		if err == nil && v.Rev != next {
			return fmt.Errorf("revision %d, want %d", v.Rev, next)
		}
		return err
	})
	f.eventually("in force", f.inForce)
}

// TestSecondLossAfterRepair wipes one host's data folder, lets it be repaired,
// and then loses another host for good.
func TestSecondLossAfterRepair(t *testing.T) {
	f := formed(t, 3, 1)
	rev := f.put(0, lookup(), "first")
	f.kill("c2")
	if err := os.RemoveAll(f.controls[1].Data); err != nil {
		t.Fatal(err)
	}
	f.startControl(1)
	f.eventually("repair", func() error {
		v, err := f.service(1, "lookup")
		if err == nil && v.Rev != rev {
			return fmt.Errorf("revision %d, want %d", v.Rev, rev)
		}
		return err
	})
	f.awaitVoters(1, 3)
	f.kill("c3")
	if next := f.put(1, lookup().WithFloor(0), "second"); next <= rev {
		t.Errorf("revision %d after %d", next, rev)
	}
}

// TestFrozenLeader stops the leader for longer than its lease: when it thaws
// it answers no old state as current.
func TestFrozenLeader(t *testing.T) {
	f := formed(t, 3, 1)
	f.put(0, lookup(), "first")
	old := f.leader(0)
	frozen := f.procs[f.controls[old].Name].Process
	if err := frozen.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	next := f.put((old+1)%3, lookup().WithFloor(0), "second")
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		v, err := f.service(old, "lookup")
		if err == nil && v.Rev < next {
			t.Fatalf("the thawed host answered revision %d, %d is accepted", v.Rev, next)
		}
	}
}

// TestRacingOperators lets two operators write at two hosts with the same
// expectation: exactly one wins each round.
func TestRacingOperators(t *testing.T) {
	f := formed(t, 3, 1)
	rev := f.put(0, lookup(), "first")
	for round := range 10 {
		var wg sync.WaitGroup
		won := make(chan int, 2)
		for side := range 2 {
			wg.Go(func() {
				service := lookup().WithFloor(side)
				status, _, err := f.write(side, service, fmt.Sprint(rev), fmt.Sprint(round, side))
				if err == nil && status == http.StatusOK {
					won <- side
				}
			})
		}
		wg.Wait()
		close(won)
		winners := 0
		for side := range won {
			winners++
			v, err := f.service(2, "lookup")
			if err != nil || v.Service.Floor != side {
				t.Errorf("round %d: side %d won, floor is %d, %v", round, side, v.Service.Floor, err)
			}
			rev = v.Rev
		}
		if winners != 1 {
			t.Fatalf("round %d has %d winners", round, winners)
		}
	}
}

// TestRestartWithoutControl restarts a node while every control host is away:
// it takes the newest view from its peers and serves.
func TestRestartWithoutControl(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.nodes[1].Seeds = []string{f.nodes[0].Peer}
	f.startAll()
	f.put(0, lookup(), "first")
	f.backend("lookup-1", "lookup", 0)
	f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	f.kill("c1")
	f.kill("n2")
	f.startNode(1)
	f.eventually("answers without control", func() error {
		_, err := f.ask(1, "/check/alone")
		return err
	})
}

// TestNewServerWithoutControl starts a backend server beside one node while
// every control host is away: callers of the other node reach it, and once
// control is back it is in force everywhere.
func TestNewServerWithoutControl(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.put(0, lookup(), "first")
	f.awaitInstances(0)
	f.kill("c1")
	f.backend("lookup-1", "lookup", 1)
	f.eventually("answer of the new server", func() error {
		_, err := f.ask(0, "/check/new")
		return err
	})
	f.startControl(0)
	f.awaitInstances(1)
	if _, err := f.ask(0, "/check/after"); err != nil {
		t.Error(err)
	}
}

// TestEverythingRestarts kills every process at once: nothing accepted is
// lost.
func TestEverythingRestarts(t *testing.T) {
	f := formed(t, 3, 2)
	rev := f.put(0, lookup(), "first")
	f.backend("lookup-1", "lookup", 0)
	f.awaitInstances(1)
	for name := range f.procs {
		f.kill(name)
	}
	f.startAll()
	f.eventually("state", func() error {
		v, err := f.service(2, "lookup")
		if err == nil && v.Rev != rev {
			return fmt.Errorf("revision %d, want %d", v.Rev, rev)
		}
		return err
	})
	f.eventually("answers", func() error {
		_, err := f.ask(1, "/check/again")
		return err
	})
}

// TestIsolatedHost cuts a control host off in one direction, silently: its
// nodes hear of every change all the same, and it accepts nothing.
func TestIsolatedHost(t *testing.T) {
	f := newFleet(t, 3, 2)
	var relays []*fake.Relay
	// What the others send reaches c3 through relays; what c3 sends goes
	// straight.
	for n := range 2 {
		r, err := fake.StartRelay(t.Context(), f.controls[2].Peer)
		if err != nil {
			t.Fatal(err)
		}
		relays = append(relays, r)
		hosts := slices.Clone(f.controls[n].Hosts)
		hosts[2].Addr = r.Addr()
		f.controls[n].Hosts = hosts
	}
	// Node 2 knows only the host that will be cut off.
	f.nodes[1].Control = []string{f.controls[2].Peer}
	f.startAll()
	f.awaitVoters(0, 3)
	f.put(0, lookup(), "first")
	f.eventually("in force", f.inForce)
	for _, r := range relays {
		r.SetLinks(fake.Link{Drop: true}, fake.Link{})
	}
	rev := f.put(0, lookup().WithFloor(0), "second")
	f.eventually("in force at the node of the isolated host", func() error {
		var health struct{ Rev uint64 }
		status, body, err := f.call(http.MethodGet, "http://"+f.nodes[1].Local+"/v1/health", nil, nil)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		if err := unmarshal(body, &health); err != nil {
			return err
		}
		if health.Rev < rev {
			return fmt.Errorf("revision %d, want %d", health.Rev, rev)
		}
		return nil
	})
	if v, err := f.service(2, "lookup"); err == nil && v.Rev < rev {
		t.Errorf("the isolated host answered revision %d as current, %d is accepted", v.Rev, rev)
	}
	time.Sleep(time.Second)
	if leader := f.leader(0); leader == 2 {
		t.Error("the isolated host leads")
	}
}

// TestPlannedControlStop stops the leader in the middle of writes: none is cut
// and none is left unknown.
func TestPlannedControlStop(t *testing.T) {
	f := formed(t, 3, 1)
	f.put(0, lookup(), "first")
	old := f.leader(0)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 3 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				status, body, err := f.write(n, lookup().WithFloor(i%2), "*", fmt.Sprint("w-", n, "-", i))
				refused := errors.Is(err, syscall.ECONNREFUSED) || status == http.StatusServiceUnavailable
				if n == old && refused {
					return
				}
				if (err != nil || status != http.StatusOK) && !refused {
					t.Errorf("host %d, write %d: status %d: %s, %v", n, i, status, body, err)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p := f.procs[f.controls[old].Name]
	f.stop(p.Process)
	if err := p.Wait(); err != nil {
		t.Errorf("did not stop cleanly: %v", err)
	}
	delete(f.procs, f.controls[old].Name)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	f.put((old+1)%3, lookup(), "last")
}

// awaitInForceAt waits until one host holds a revision.
func (f *fleet) awaitInForceAt(host int, rev uint64) {
	f.eventually("replicated", func() error {
		var list []view.VersionedService
		if err := f.get(host, "/v1/services?stale=1", &list); err != nil {
			return err
		}
		if len(list) == 0 || list[0].Rev < rev {
			return fmt.Errorf("host %d holds %+v", host, list)
		}
		return nil
	})
}
