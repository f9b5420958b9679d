package trials

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// sayLeaving lets an instance say in all its responses that it leaves, while its reports
// say that it is ready. It returns a counter of the requests that reach the instance.
func sayLeaving(i *instance) *atomic.Int64 {
	var reached atomic.Int64
	i.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		reached.Add(1)
		w.Header().Set(i.names.Leaving, "1")
		return false
	})
	return &reached
}

// slowDown lets an instance take so long that nodes choose the other one while they may.
func slowDown(i *instance) {
	i.setHandler(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(30 * time.Millisecond)
		return false
	})
}

// sendUntilLeaving sends requests to a node until it has passed on a response of an
// instance that leaves. Nodes may keep away from the instance from then on, so the requests
// are such that are not hedged: the caller gets the first response of the instance.
func (f *fleet) sendUntilLeaving(node int, i *instance) {
	f.eventually("a response of the leaving instance", func() error {
		_, _, header, err := f.sendPlatform(node, http.MethodPost, "/b/1", fmt.Sprintf("u-%d", time.Now().UnixNano()))
		if err != nil || header.Get(i.names.Leaving) != "1" {
			return fmt.Errorf("not from the leaving instance: %w", err)
		}
		return nil
	})
}

// TestLeavingInstanceByResponse guards against requests that reach an instance after the
// grace period although its responses say that it leaves.
func TestLeavingInstanceByResponse(t *testing.T) {
	f := startPlatformFleet(t)
	leaving, other := f.startInstances(t)
	reached := sayLeaving(leaving)
	slowDown(other)
	f.sendUntilLeaving(0, leaving)
	time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
	if status, err := f.report(0, leaving, "lookup", "ready", 2); status != http.StatusOK || err != nil {
		t.Fatalf("report: %d, %v", status, err)
	}
	before := reached.Load()
	for n := range 40 {
		method, path := http.MethodGet, "/a/1"
		if n%4 < 2 {
			method, path = http.MethodPost, "/b/1"
		}
		status, _, _, err := f.sendPlatform(n%2, method, path, fmt.Sprintf("g-%d", n))
		if status != http.StatusOK || err != nil {
			t.Errorf("request %d: status %d, %v", n, status, err)
		}
	}
	if got := reached.Load() - before; got > 0 {
		t.Errorf("%d of 40 requests reached an instance that had said that it leaves", got)
	}
}

// TestLeavingInstanceAfterOwnerRestart guards against requests that begin at a node which
// knows that an instance leaves, and reach it through an owner that has restarted and does
// not.
func TestLeavingInstanceAfterOwnerRestart(t *testing.T) {
	f := startPlatformFleet(t)
	leaving, other := f.startInstances(t)
	reached := sayLeaving(leaving)
	slowDown(other)
	f.sendUntilLeaving(1, leaving)
	time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
	f.kill(f.nodes[0].Name)
	f.start(f.nodes[0].Name, "node", f.nodes[0], "--platform")
	f.eventually("report to the new process", func() error {
		status, err := f.report(0, leaving, "lookup", "ready", 2)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	})
	// The other node learns of the new registration within this time.
	before, end := reached.Load(), time.Now().Add(3*time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if _, _, _, err := f.sendPlatform(1, http.MethodGet, "/a/1", fmt.Sprintf("o-%d", n)); err != nil {
			t.Errorf("request %d: %v", n, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := reached.Load() - before; got > 0 {
		t.Errorf("%d requests reached an instance that had told this node that it leaves", got)
	}
}
