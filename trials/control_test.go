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

// startFleet starts control hosts and nodes and waits until all control hosts
// vote.
func startFleet(t *testing.T, controls, nodes int) *fleet {
	f := newFleet(t, controls, nodes)
	f.startAll()
	f.awaitVoters(0, controls)
	return f
}

// awaitVoters waits until a control host reports n voters, no other host, and a
// leader.
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

// leader returns the index of the leader, as reported by a control host.
func (f *fleet) leader(control int) int {
	found := -1
	f.eventually("leader", func() error {
		status, err := f.status(control)
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
	return v, f.getControl(control, "/v1/services/"+name, &v)
}

// TestLeaderFailure kills the leader. A retry of an accepted write must get the
// first result, later writes are accepted, and the old leader and all nodes
// catch up.
func TestLeaderFailure(t *testing.T) {
	f := startFleet(t, 3, 2)
	rev := f.putService(0, lookupService(), "first")
	old := f.leader(0)
	f.kill(f.controls[old].Name)
	other := (old + 1) % 3
	if again := f.putService(other, lookupService(), "first"); again != rev {
		t.Errorf("retry got revision %d, first write got %d", again, rev)
	}
	next := f.putService(other, lookupService().WithFloor(0), "second")
	if next <= rev {
		t.Errorf("revision %d after %d", next, rev)
	}
	f.startControl(old)
	f.eventually("old leader catches up", func() error {
		v, err := f.service(old, "lookup")
		if err == nil && v.Rev != next {
			return fmt.Errorf("revision %d, want %d", v.Rev, next)
		}
		return err
	})
	f.eventually("newest revision on all nodes", f.checkConverged)
}

// TestSecondLossAfterRepair wipes one host's data folder, waits until it is
// repaired, and then loses another host permanently. Writes must go on.
func TestSecondLossAfterRepair(t *testing.T) {
	f := startFleet(t, 3, 1)
	rev := f.putService(0, lookupService(), "first")
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
	if next := f.putService(1, lookupService().WithFloor(0), "second"); next <= rev {
		t.Errorf("revision %d after %d", next, rev)
	}
}

// TestPausedLeader pauses the leader process for longer than its lease, while
// another leader accepts a write. Once resumed, the old leader must not serve
// stale state as current.
func TestPausedLeader(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.putService(0, lookupService(), "first")
	old := f.leader(0)
	paused := f.procs[f.controls[old].Name].Process
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	next := f.putService((old+1)%3, lookupService().WithFloor(0), "second")
	if err := paused.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		v, err := f.service(old, "lookup")
		if err == nil && v.Rev < next {
			t.Fatalf("the resumed host returned revision %d, but %d is committed", v.Rev, next)
		}
	}
}

// TestConcurrentWrites lets two operators write at two hosts with the same
// If-Match revision. Exactly one write must succeed in each round.
func TestConcurrentWrites(t *testing.T) {
	f := startFleet(t, 3, 1)
	rev := f.putService(0, lookupService(), "first")
	for round := range 10 {
		var wg sync.WaitGroup
		won := make(chan int, 2)
		for side := range 2 {
			wg.Go(func() {
				service := lookupService().WithFloor(side)
				status, _, err := f.writeService(side, service, fmt.Sprint(rev), fmt.Sprint(round, side))
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
				t.Errorf("round %d: writer %d succeeded, but the floor is %d, %v", round, side, v.Service.Floor, err)
			}
			rev = v.Rev
		}
		if winners != 1 {
			t.Fatalf("round %d: %d writes succeeded, want 1", round, winners)
		}
	}
}

// TestNodeRestartWithoutControl restarts a node while every control host is
// down. The node must get the newest view from its peers and serve requests.
func TestNodeRestartWithoutControl(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.nodes[1].Seeds = []string{f.nodes[0].Peer}
	f.startAll()
	f.putService(0, lookupService(), "first")
	f.startBackend("lookup-1", "lookup", 0)
	f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	f.kill("c1")
	f.kill("n2")
	f.startNode(1)
	f.eventually("response without control hosts", func() error {
		_, err := f.get(1, "/check/alone")
		return err
	})
}

// TestNewBackendWithoutControl starts a backend server on one node while every
// control host is down. Callers of the other node must reach it, and all nodes
// must know it once the control host is back.
func TestNewBackendWithoutControl(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.putService(0, lookupService(), "first")
	f.awaitInstances(0)
	f.kill("c1")
	f.startBackend("lookup-1", "lookup", 1)
	f.eventually("response from the new backend server", func() error {
		_, err := f.get(0, "/check/new")
		return err
	})
	f.startControl(0)
	f.awaitInstances(1)
	if _, err := f.get(0, "/check/after"); err != nil {
		t.Error(err)
	}
}

// TestRestartAll kills and restarts every process. No accepted write may be
// lost.
func TestRestartAll(t *testing.T) {
	f := startFleet(t, 3, 2)
	rev := f.putService(0, lookupService(), "first")
	f.startBackend("lookup-1", "lookup", 0)
	f.awaitInstances(1)
	for name := range f.procs {
		f.kill(name)
	}
	f.startAll()
	f.eventually("recovered service", func() error {
		v, err := f.service(2, "lookup")
		if err == nil && v.Rev != rev {
			return fmt.Errorf("revision %d, want %d", v.Rev, rev)
		}
		return err
	})
	f.eventually("response after the restart", func() error {
		_, err := f.get(1, "/check/again")
		return err
	})
}

// TestOneWayPartition drops the requests of the other control hosts to one host,
// without closing connections. A node that knows only this host must still get
// every change, and the host must neither serve stale state nor lead.
func TestOneWayPartition(t *testing.T) {
	f := newFleet(t, 3, 2)
	var relays []*fake.Relay
	// The other hosts reach c3 through relays; c3 connects to them directly.
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
	// Node 2 knows only the host that will be isolated.
	f.nodes[1].Control = []string{f.controls[2].Peer}
	f.startAll()
	f.awaitVoters(0, 3)
	f.putService(0, lookupService(), "first")
	f.eventually("newest revision on all nodes", f.checkConverged)
	for _, r := range relays {
		r.SetLinks(fake.Link{Drop: true}, fake.Link{})
	}
	rev := f.putService(0, lookupService().WithFloor(0), "second")
	f.eventually("newest revision on the node of the isolated host", func() error {
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
		t.Errorf("the isolated host returned revision %d as current, but %d is committed", v.Rev, rev)
	}
	time.Sleep(time.Second)
	if leader := f.leader(0); leader == 2 {
		t.Error("the isolated host is the leader")
	}
}

// TestGracefulControlStop stops the leader with SIGTERM during concurrent
// writes. Each write must succeed or be refused; none may fail with an unknown
// outcome.
func TestGracefulControlStop(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.putService(0, lookupService(), "first")
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
				status, body, err := f.writeService(n, lookupService().WithFloor(i%2), "*", fmt.Sprint("w-", n, "-", i))
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
	f.terminate(p.Process)
	if err := p.Wait(); err != nil {
		t.Errorf("leader did not exit cleanly: %v", err)
	}
	delete(f.procs, f.controls[old].Name)
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	f.putService((old+1)%3, lookupService(), "last")
}

// awaitRevision waits until one control host has replicated a revision.
func (f *fleet) awaitRevision(host int, rev uint64) {
	f.eventually("replication", func() error {
		var list []view.VersionedService
		if err := f.getControl(host, "/v1/services?stale=1", &list); err != nil {
			return err
		}
		if len(list) == 0 || list[0].Rev < rev {
			return fmt.Errorf("host %d has %+v", host, list)
		}
		return nil
	})
}
