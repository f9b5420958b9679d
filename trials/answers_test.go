package trials

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// startServingFleet starts a fleet of one control host and two nodes with one
// instance on each.
func startServingFleet(t *testing.T) (*fleet, *fake.Backend, *fake.Backend) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.putService(0, lookupService(), "first")
	a := f.startBackend("lookup-1", "lookup", 0)
	b := f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for node := range f.nodes {
		f.eventually("node registration", func() error { return f.checkRegistered(node) })
	}
	return f, a, b
}

// awaitInstances waits until n instances are registered and every node holds
// the newest revision.
func (f *fleet) awaitInstances(n int) {
	f.eventually("registered instances", func() error {
		hosts, err := f.members()
		if err != nil {
			return err
		}
		found := 0
		for _, h := range hosts {
			found += len(h.Instances)
		}
		if found != n {
			return fmt.Errorf("%d instances registered", found)
		}
		return f.checkConverged()
	})
}

// TestFaultyResponses sends requests to backend servers that truncate, mix up or
// reset their responses. A caller must get either the complete response to its
// own request or a failure.
func TestFaultyResponses(t *testing.T) {
	f, a, b := startServingFleet(t)
	faults := []struct {
		fault    fake.Fault
		complete bool
	}{
		{fake.Short, false},
		{fake.Cut, false},
		{fake.Crossed, false},
		{fake.Endless, false},
		{fake.Reset, false},
		{fake.Extra, true},
	}
	for _, c := range faults {
		a.SetBehaviour(fake.Behaviour{Fault: c.fault})
		b.SetBehaviour(fake.Behaviour{Fault: c.fault})
		for n := range 10 {
			status, body, err := f.call(http.MethodGet, "http://"+f.nodes[n%2].Caller+"/check/faulty", nil, nil)
			ok := err == nil && status == http.StatusOK
			if ok != c.complete {
				t.Errorf("%s: status %d, body %q, error %v", c.fault, status, body, err)
			}
		}
		a.SetBehaviour(fake.Behaviour{})
		b.SetBehaviour(fake.Behaviour{})
		f.eventually("correct responses after "+string(c.fault), func() error {
			for n := range 10 {
				if _, err := f.get(n%2, fmt.Sprintf("/check/%s-%d", c.fault, n)); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// TestResumeDownload breaks downloads half way and expects another instance to
// continue them.
func TestResumeDownload(t *testing.T) {
	f, a, _ := startServingFleet(t)
	a.SetBehaviour(fake.Behaviour{Fault: fake.Short})
	for n := range 10 {
		path := fmt.Sprintf("/blob/%d", n)
		status, body, err := f.call(http.MethodGet, "http://"+f.nodes[n%2].Caller+path, nil, nil)
		if err != nil || status != http.StatusOK || !bytes.Equal(body, fake.Blob(path)) {
			t.Errorf("download %d: status %d, %d bytes, error %v", n, status, len(body), err)
		}
	}
}

// TestRunsOnce kills the nodes that own the instances and injects faulty
// responses, while callers retry renewals under their idempotency keys at both
// nodes. No renewal may run twice.
func TestRunsOnce(t *testing.T) {
	f, a, b := startServingFleet(t)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 8 {
		callers.Go(func() { f.renewLoop(n, stop) })
	}
	deadline := time.Now().Add(_maxWait)
	for round := 0; round < 4 || len(runCounts(a, b)) < _minRenewals && time.Now().Before(deadline); round++ {
		time.Sleep(400 * time.Millisecond)
		a.SetBehaviour(fake.Behaviour{Fault: []fake.Fault{fake.Reset, fake.Short}[round%2], Share: 0.5, Delay: 20 * time.Millisecond})
		f.kill(f.nodes[round%2].Name)
		time.Sleep(200 * time.Millisecond)
		f.startNode(round % 2)
	}
	close(stop)
	callers.Wait()
	checkRunsOnce(t, a, b)
}

// renewLoop sends renewals until stop is closed, and retries each under its
// idempotency key, up to 6 attempts.
func (f *fleet) renewLoop(caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		mark := fmt.Sprintf("%d-%d", caller, n)
		for attempt := range 6 {
			select {
			case <-stop:
				return
			default:
			}
			header := http.Header{"Idempotency-Key": {mark}, "Mark": {mark}}
			node := f.nodes[(caller+attempt)%2]
			status, _, err := f.call(http.MethodPost, "http://"+node.Caller+"/renew/"+mark, header, []byte(mark))
			if err == nil && status == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestRepeatGetsFirstResponse repeats a renewal under its idempotency key. It
// must run once, and the repeat must get the first response; another request
// under the same key is refused.
func TestRepeatGetsFirstResponse(t *testing.T) {
	f, a, b := startServingFleet(t)
	header := http.Header{"Idempotency-Key": {"k"}, "Mark": {"k"}}
	var first []byte
	f.eventually("first response", func() error {
		status, body, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/renew/k", header, []byte("x"))
		first = body
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	})
	_, second, err := f.call(http.MethodPost, "http://"+f.nodes[1].Caller+"/renew/k", header, []byte("x"))
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("responses %q and %q, error %v", first, second, err)
	}
	if n := a.RunCounts()["k"] + b.RunCounts()["k"]; n != 1 {
		t.Errorf("ran %d times", n)
	}
	status, _, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/renew/k", header, []byte("y"))
	if err != nil || status != http.StatusUnprocessableEntity {
		t.Errorf("another request under the key: status %d, error %v", status, err)
	}
}

// TestNotRunOutcome crashes every backend server. The response to a caller must
// carry the outcome not-run, and no request may have reached a backend server.
func TestNotRunOutcome(t *testing.T) {
	f, a, b := startServingFleet(t)
	if err := a.Crash(); err != nil {
		t.Fatal(err)
	}
	if err := b.Crash(); err != nil {
		t.Fatal(err)
	}
	before := a.RequestCount() + b.RequestCount()
	r, err := http.Post("http://"+f.nodes[0].Caller+"/renew/z", "text/plain", bytes.NewReader([]byte("z")))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Damaskpitch-Outcome") != "not-run" || a.RequestCount()+b.RequestCount() != before {
		t.Errorf("outcome %q, status %d", r.Header.Get("Damaskpitch-Outcome"), r.StatusCode)
	}
}
