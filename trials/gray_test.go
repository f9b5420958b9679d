package trials

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/fake"
)

// TestGrayFailure lets one of three instances fail half of its requests while it
// still announces itself. It must be ejected, and must return once it recovers.
func TestGrayFailure(t *testing.T) {
	f, _, _ := startServingFleet(t)
	c := f.startBackend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	c.SetBehaviour(fake.Behaviour{Status: http.StatusInternalServerError, Share: 0.5})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.requestLoop(n%2, "/check", stop)
	}
	f.eventually("ejection", func() error { return f.checkEjected(1) })
	// Requests that were in flight when the ejection was granted may still arrive.
	time.Sleep(300 * time.Millisecond)
	before := c.RequestCount()
	time.Sleep(time.Second)
	if after := c.RequestCount(); after != before {
		t.Errorf("%d requests reached an ejected instance", after-before)
	}
	c.SetBehaviour(fake.Behaviour{})
	f.eventually("return of the instance", func() error {
		if c.RequestCount() == before {
			return errors.New("no request yet")
		}
		return f.checkEjected(0)
	})
}

// TestStraggler lets one of three instances respond ten times slower than the
// other one in its data centre. It must be ejected.
func TestStraggler(t *testing.T) {
	f, a, b := startServingFleet(t)
	c := f.startBackend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	for _, server := range []*fake.Backend{a, b} {
		server.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	}
	c.SetBehaviour(fake.Behaviour{Delay: 200 * time.Millisecond})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.requestLoop(n%2, "/check", stop)
	}
	f.awaitEjection("lookup-3")
}

// awaitEjection waits until an instance is ejected, and fails the test if another
// instance is ejected.
func (f *fleet) awaitEjection(id string) {
	f.eventually("ejection", func() error {
		var status ctrl.FleetStatus
		if err := f.getControl(0, "/v1/status", &status); err != nil {
			return err
		}
		ejected := status.Services[0].Ejected
		if len(ejected) == 0 {
			return errors.New("no instance is ejected")
		}
		if len(ejected) != 1 || !strings.HasSuffix(ejected[0], "/"+id) {
			f.t.Fatalf("ejected %v", ejected)
		}
		return nil
	})
}

// TestAllInstancesFail lets every instance fail at once. None may be ejected.
func TestAllInstancesFail(t *testing.T) {
	f, a, b := startServingFleet(t)
	c := f.startBackend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	for _, server := range []*fake.Backend{a, b, c} {
		server.SetBehaviour(fake.Behaviour{Status: http.StatusInternalServerError})
	}
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.requestLoop(n%2, "/check", stop)
	}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if err := f.checkEjected(0); err != nil {
			t.Fatal(err)
		}
	}
}

// requestLoop sends requests to a node until stop is closed, and ignores errors.
func (f *fleet) requestLoop(node int, path string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
			_, _ = f.get(node, fmt.Sprint(path, "/", n))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// checkEjected checks that n instances of the first service are ejected.
func (f *fleet) checkEjected(n int) error {
	var status ctrl.FleetStatus
	if err := f.getControl(0, "/v1/status", &status); err != nil {
		return err
	}
	if got := len(status.Services[0].Ejected); got != n {
		return fmt.Errorf("%d instances ejected: %+v", got, status.Services[0])
	}
	return nil
}

// TestSilentConnections drops all data on the open connections between the
// nodes without closing them, while new connections work. Requests must succeed,
// and no instance may be ejected.
func TestSilentConnections(t *testing.T) {
	f := newFleet(t, 1, 2)
	relay, err := fake.StartRelay(t.Context(), f.nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[1].Advertise = relay.Addr()
	f.startAll()
	f.putService(0, lookupService(), "first")
	b := f.startBackend("lookup-1", "lookup", 1)
	f.awaitInstances(1)
	b.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	for n := range 20 {
		if _, err := f.get(0, fmt.Sprintf("/check/%d", n)); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		relay.Silence()
		started := time.Now()
		for n := range 5 {
			if _, err := f.get(0, fmt.Sprintf("/check/silent-%d-%d", round, n)); err != nil {
				t.Errorf("round %d: %v", round, err)
			}
		}
		t.Logf("round %d: 5 requests in %v", round, time.Since(started))
	}
	if err := f.checkEjected(0); err != nil {
		t.Error(err)
	}
}
