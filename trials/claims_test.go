package trials

import (
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestRunsOnceWithoutControl kills the leader and loses, in turns, the answers
// of control hosts to one node and its questions to them, while callers resend
// renewals under their keys at both nodes: none runs twice.
func TestRunsOnceWithoutControl(t *testing.T) {
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
	f.put(0, lookup(), "first")
	a := f.backend("lookup-1", "lookup", 0)
	b := f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for _, server := range []*fake.Backend{a, b} {
		server.SetBehaviour(fake.Behaviour{Delay: 30 * time.Millisecond})
	}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 8 {
		callers.Go(func() { f.renewAll(n, stop) })
	}
	lost := []struct{ there, back fake.Link }{
		{back: fake.Link{Drop: true}},
		{there: fake.Link{Drop: true}},
		{back: fake.Link{Drop: true}},
		{there: fake.Link{Drop: true}},
	}
	for round, links := range lost {
		time.Sleep(time.Second)
		for _, r := range relays {
			r.SetLinks(links.there, links.back)
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
	checkOnce(t, a, b)
}

// checkOnce holds every renewal to one run.
func checkOnce(t *testing.T, a, b *fake.Backend) {
	t.Helper()
	runs := a.RunCounts()
	for mark, n := range b.RunCounts() {
		runs[mark] += n
	}
	for mark, n := range runs {
		if n > 1 {
			t.Errorf("renewal %s ran %d times", mark, n)
		}
	}
	if len(runs) < 20 {
		t.Errorf("only %d renewals ran", len(runs))
	}
	t.Logf("%d renewals ran", len(runs))
}
