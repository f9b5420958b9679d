package trials

import (
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestRunsOnceWithControlFaults kills the leader and drops, in turn, the
// control hosts' responses to one node and its requests to them, while callers
// retry renewals under their idempotency keys at both nodes. No renewal may run
// twice.
func TestRunsOnceWithControlFaults(t *testing.T) {
	f := newFleet(t, 3, 2)
	var relays []*fake.Relay
	f.nodes[1].Control = nil
	for _, c := range f.controls {
		r, err := fake.StartRelay(t.Context(), c.Peer)
		if err != nil {
			t.Fatal(err)
		}
		relays = append(relays, r)
		f.nodes[1].Control = append(f.nodes[1].Control, r.Addr())
	}
	f.startAll()
	f.awaitVoters(0, 3)
	f.putService(0, lookupService(), "first")
	a := f.startBackend("lookup-1", "lookup", 0)
	b := f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for _, server := range []*fake.Backend{a, b} {
		server.SetBehaviour(fake.Behaviour{Delay: 30 * time.Millisecond})
	}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 8 {
		callers.Go(func() { f.renewLoop(n, stop) })
	}
	faults := []struct{ forward, backward fake.Link }{
		{backward: fake.Link{Drop: true}},
		{forward: fake.Link{Drop: true}},
		{backward: fake.Link{Drop: true}},
		{forward: fake.Link{Drop: true}},
	}
	for round, links := range faults {
		time.Sleep(time.Second)
		for _, r := range relays {
			r.SetLinks(links.forward, links.backward)
		}
		leader := f.leader(round % 3)
		f.kill(f.controls[leader].Name)
		time.Sleep(time.Second)
		for _, r := range relays {
			r.SetLinks(fake.Link{}, fake.Link{})
		}
		f.startControl(leader)
		f.awaitVoters((leader+1)%3, 3)
	}
	close(stop)
	callers.Wait()
	checkRunsOnce(t, a, b)
}

// _minRenewals is the least number of renewals that tell whether any runs twice.
const _minRenewals = 20

// checkRunsOnce checks that no renewal ran twice, and that at least _minRenewals ran.
func checkRunsOnce(t *testing.T, a, b *fake.Backend) {
	t.Helper()
	runs := runCounts(a, b)
	for mark, n := range runs {
		if n > 1 {
			t.Errorf("renewal %s ran %d times", mark, n)
		}
	}
	if len(runs) < _minRenewals {
		t.Errorf("only %d renewals ran", len(runs))
	}
	t.Logf("%d renewals ran", len(runs))
}

// runCounts returns how often each renewal ran at the two backend servers.
func runCounts(a, b *fake.Backend) map[string]int {
	runs := a.RunCounts()
	for mark, n := range b.RunCounts() {
		runs[mark] += n
	}
	return runs
}
