package trials

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/spec"
)

// _metricsLag is longer than a node takes to publish its counters.
const _metricsLag = 2 * time.Second

// TestHedge delays a tenth of the requests at one of two instances beyond any
// deadline. Hedging must get the responses from the other instance.
func TestHedge(t *testing.T) {
	const (
		warmup   = 200 // requests that earn the hedging budget for late responses on a busy machine
		requests = 300
	)
	f := newFleet(t, 1, 2)
	f.startAll()
	service := lookupService()
	service.Timeout = spec.Duration(3 * time.Second)
	service.Patience = spec.Sure
	f.putService(0, service, "first")
	a := f.startBackend("lookup-1", "lookup", 0)
	f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for n := range warmup {
		f.eventually("warm-up response", func() error {
			_, err := f.get(0, fmt.Sprint("/check/warm-", n))
			return err
		})
	}
	a.SetBehaviour(fake.Behaviour{Delay: time.Minute, Share: 0.1})
	failed := 0
	for n := range requests {
		if _, err := f.get(0, fmt.Sprint("/check/", n)); err != nil {
			failed++
			t.Logf("request %d: %v", n, err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d requests failed", failed, requests)
	}
}

// TestHedgeDetectsSilence drops all data on the open connections to one of two
// instances. Hedges get the first late responses from the other instance; the
// silent connections must still be detected and closed, so that at most three
// requests are hedged.
func TestHedgeDetectsSilence(t *testing.T) {
	const callers, maxHedges = 4, 3
	f := newFleet(t, 1, 2)
	relay, err := fake.StartRelay(t.Context(), f.nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[1].Advertise = relay.Addr()
	f.nodes[1].Center = f.nodes[0].Center
	f.startAll()
	f.putService(0, lookupService(), "first")
	a := f.startBackend("lookup-1", "lookup", 0)
	b := f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	// The instance behind the silent connections is the faster one.
	a.SetBehaviour(fake.Behaviour{Delay: 40 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	var warmup sync.WaitGroup
	for caller := range callers {
		warmup.Go(func() {
			for n := range 30 {
				_, _ = f.get(0, fmt.Sprintf("/check/warm-%d-%d", caller, n))
			}
		})
	}
	warmup.Wait()
	time.Sleep(_metricsLag)
	before := f.counter(0, "damaskpitch_node_hedges")
	relay.Silence()
	for n := range 30 {
		if _, err := f.get(0, fmt.Sprint("/check/silent-", n)); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(_metricsLag)
	hedges := f.counter(0, "damaskpitch_node_hedges") - before
	silent := f.counter(0, "damaskpitch_node_silent")
	t.Logf("%v hedges, %v silent connections detected", hedges, silent)
	if silent == 0 || hedges > maxHedges {
		t.Errorf("%v hedges, want at most %d; %v silent connections detected", hedges, maxHedges, silent)
	}
}

// counter returns the value of a node's counter.
func (f *fleet) counter(node int, name string) float64 {
	status, body, err := f.call(http.MethodGet, "http://"+f.nodes[node].Local+"/metrics", nil, nil)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("status %d: %v", status, err)
	}
	return parseCounter(body, name)
}
