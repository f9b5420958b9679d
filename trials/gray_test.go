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

// TestGrayBackend lets one of three instances fail half of its real work while
// it stays alive: it is ejected and returns when it is well.
func TestGrayBackend(t *testing.T) {
	f, _, _ := ready(t)
	c := f.backend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	c.SetBehaviour(fake.Behaviour{Status: http.StatusInternalServerError, Share: 0.5})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.hammer(n%2, "/check", stop)
	}
	f.eventually("ejection", func() error { return f.ejected(1) })
	// What was on its way when the ejection was granted may still arrive.
	time.Sleep(300 * time.Millisecond)
	before := c.RequestCount()
	time.Sleep(time.Second)
	if after := c.RequestCount(); after != before {
		t.Errorf("%d requests reached an ejected server", after-before)
	}
	c.SetBehaviour(fake.Behaviour{})
	f.eventually("return", func() error {
		if c.RequestCount() == before {
			return errors.New("no request yet")
		}
		return f.ejected(0)
	})
}

// TestStraggler lets one of three instances answer ten times slower than the
// other one in its data centre: it is ejected.
func TestStraggler(t *testing.T) {
	f, a, b := ready(t)
	c := f.backend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	for _, server := range []*fake.Backend{a, b} {
		server.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	}
	c.SetBehaviour(fake.Behaviour{Delay: 200 * time.Millisecond})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.hammer(n%2, "/check", stop)
	}
	f.awaitEjection("lookup-3")
}

// awaitEjection waits until one instance is ejected, and no other is before it.
func (f *fleet) awaitEjection(id string) {
	f.eventually("ejection", func() error {
		var status ctrl.FleetStatus
		if err := f.get(0, "/v1/status", &status); err != nil {
			return err
		}
		ejected := status.Services[0].Ejected
		if len(ejected) == 0 {
			return errors.New("none ejected")
		}
		if len(ejected) != 1 || !strings.HasSuffix(ejected[0], "/"+id) {
			f.t.Fatalf("ejected %v", ejected)
		}
		return nil
	})
}

// TestSharedFault fails every instance at once: none is ejected.
func TestSharedFault(t *testing.T) {
	f, a, b := ready(t)
	c := f.backend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	for _, server := range []*fake.Backend{a, b, c} {
		server.SetBehaviour(fake.Behaviour{Status: http.StatusInternalServerError})
	}
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.hammer(n%2, "/check", stop)
	}
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if err := f.ejected(0); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *fleet) hammer(node int, path string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
			_, _ = f.ask(node, fmt.Sprint(path, "/", n))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (f *fleet) ejected(n int) error {
	var status ctrl.FleetStatus
	if err := f.get(0, "/v1/status", &status); err != nil {
		return err
	}
	if got := len(status.Services[0].Ejected); got != n {
		return fmt.Errorf("%d ejected: %+v", got, status.Services[0])
	}
	return nil
}

// TestSilentConnections makes every open connection between the nodes go
// silent while new ones work: requests go on and no server is blamed.
func TestSilentConnections(t *testing.T) {
	f := newFleet(t, 1, 2)
	relay, err := fake.StartRelay(t.Context(), f.nodes[1].Peer)
	if err != nil {
		t.Fatal(err)
	}
	f.nodes[1].Advertise = relay.Addr()
	f.startAll()
	f.put(0, lookup(), "first")
	b := f.backend("lookup-1", "lookup", 1)
	f.awaitInstances(1)
	b.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	for n := range 20 {
		if _, err := f.ask(0, fmt.Sprintf("/check/%d", n)); err != nil {
			t.Fatal(err)
		}
	}
	for round := range 3 {
		relay.Silence()
		started := time.Now()
		for n := range 5 {
			if _, err := f.ask(0, fmt.Sprintf("/check/silent-%d-%d", round, n)); err != nil {
				t.Errorf("round %d: %v", round, err)
			}
		}
		t.Logf("round %d: 5 requests in %v", round, time.Since(started))
	}
	if err := f.ejected(0); err != nil {
		t.Error(err)
	}
}
