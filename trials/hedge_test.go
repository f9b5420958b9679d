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

// _metricsLag is longer than a node takes to show what it has counted.
const _metricsLag = 2 * time.Second

// TestHedge lets one of two instances keep a tenth of its requests for longer
// than any deadline: the other instance answers those as well.
func TestHedge(t *testing.T) {
	const (
		warm     = 200 // they earn the budget for late answers on a busy machine
		requests = 300
	)
	f := newFleet(t, 1, 2)
	f.startAll()
	service := lookup()
	service.Timeout = spec.Duration(3 * time.Second)
	service.Patience = spec.Sure
	f.put(0, service, "first")
	a := f.backend("lookup-1", "lookup", 0)
	f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for n := range warm {
		f.eventually("warm answer", func() error {
			_, err := f.ask(0, fmt.Sprint("/check/warm-", n))
			return err
		})
	}
	a.SetBehaviour(fake.Behaviour{Delay: time.Minute, Share: 0.1})
	failed := 0
	for n := range requests {
		if _, err := f.ask(0, fmt.Sprint("/check/", n)); err != nil {
			failed++
			t.Logf("request %d: %v", n, err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d requests failed", failed, requests)
	}
}

// TestHedgeFindsSilence makes the connections to one of two instances go
// silent: the first late answers have the other instance's, and the silent
// connections are found and closed all the same, not one hedge after the other.
func TestHedgeFindsSilence(t *testing.T) {
	const callers, most = 4, 3
	f := newFleet(t, 1, 2)
	relay, err := fake.StartRelay(t.Context(), f.nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[1].Advertise = relay.Addr()
	f.nodes[1].Center = f.nodes[0].Center
	f.startAll()
	f.put(0, lookup(), "first")
	a := f.backend("lookup-1", "lookup", 0)
	b := f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	// The instance behind the connections that go silent is the quicker one.
	a.SetBehaviour(fake.Behaviour{Delay: 40 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	var warm sync.WaitGroup
	for caller := range callers {
		warm.Go(func() {
			for n := range 30 {
				_, _ = f.ask(0, fmt.Sprintf("/check/warm-%d-%d", caller, n))
			}
		})
	}
	warm.Wait()
	time.Sleep(_metricsLag)
	before := f.counter(0, "damaskpitch_node_hedges")
	relay.Silence()
	for n := range 30 {
		if _, err := f.ask(0, fmt.Sprint("/check/silent-", n)); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(_metricsLag)
	hedges := f.counter(0, "damaskpitch_node_hedges") - before
	silent := f.counter(0, "damaskpitch_node_silent")
	t.Logf("%v hedges, silence found %v times", hedges, silent)
	if silent == 0 || hedges > most {
		t.Errorf("%v hedges, at most %d wanted; silence found %v times", hedges, most, silent)
	}
}

// counter returns a counter of a node.
func (f *fleet) counter(node int, name string) float64 {
	status, body, err := f.call(http.MethodGet, "http://"+f.nodes[node].Local+"/metrics", nil, nil)
	if err != nil || status != http.StatusOK {
		f.t.Fatalf("status %d: %v", status, err)
	}
	return counter(body, name)
}
