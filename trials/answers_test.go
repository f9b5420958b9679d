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

// ready starts a fleet of one control host and two nodes with an instance
// beside each.
func ready(t *testing.T) (*fleet, *fake.Backend, *fake.Backend) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.put(0, lookup(), "first")
	a := f.backend("lookup-1", "lookup", 0)
	b := f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for node := range f.nodes {
		f.eventually("enrolled", func() error { return f.enrolled(node) })
	}
	return f, a, b
}

// awaitInstances waits until every node has so many instances in force.
func (f *fleet) awaitInstances(n int) {
	f.eventually("instances in force", func() error {
		hosts, err := f.members()
		if err != nil {
			return err
		}
		found := 0
		for _, h := range hosts {
			found += len(h.Instances)
		}
		if found != n {
			return fmt.Errorf("%d instances", found)
		}
		return f.inForce()
	})
}

// TestSpoiltAnswers sends requests to backend servers that spoil their
// answers: a caller sees a whole answer of its own or a failure.
func TestSpoiltAnswers(t *testing.T) {
	f, a, b := ready(t)
	faults := []struct {
		fault fake.Fault
		whole bool
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
			status, body, err := f.call(http.MethodGet, "http://"+f.nodes[n%2].Caller+"/check/spoilt", nil, nil)
			complete := err == nil && status == http.StatusOK
			if complete != c.whole {
				t.Errorf("%s: status %d, body %q, error %v", c.fault, status, body, err)
			}
		}
		a.SetBehaviour(fake.Behaviour{})
		b.SetBehaviour(fake.Behaviour{})
		f.eventually("own answers after "+string(c.fault), func() error {
			for n := range 10 {
				if _, err := f.ask(n%2, fmt.Sprintf("/check/%s-%d", c.fault, n)); err != nil {
					return err
				}
			}
			return nil
		})
	}
}

// TestResume breaks downloads half way: another instance continues them.
func TestResume(t *testing.T) {
	f, a, _ := ready(t)
	a.SetBehaviour(fake.Behaviour{Fault: fake.Short})
	for n := range 10 {
		path := fmt.Sprintf("/blob/%d", n)
		status, body, err := f.call(http.MethodGet, "http://"+f.nodes[n%2].Caller+path, nil, nil)
		if err != nil || status != http.StatusOK || !bytes.Equal(body, fake.Blob(path)) {
			t.Errorf("download %d: status %d, %d bytes, error %v", n, status, len(body), err)
		}
	}
}

// TestRunsOnce kills owners and spoils answers while callers resend renewals
// under their keys at both nodes: none runs twice.
func TestRunsOnce(t *testing.T) {
	f, a, b := ready(t)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for n := range 8 {
		callers.Go(func() { f.renewAll(n, stop) })
	}
	for round := range 4 {
		time.Sleep(400 * time.Millisecond)
		a.SetBehaviour(fake.Behaviour{Fault: []fake.Fault{fake.Reset, fake.Short}[round%2], Share: 0.5, Delay: 20 * time.Millisecond})
		f.kill(f.nodes[round%2].Name)
		time.Sleep(200 * time.Millisecond)
		f.startNode(round % 2)
	}
	close(stop)
	callers.Wait()
	checkOnce(t, a, b)
}

// renewAll sends renewals, each under its key until the answer says whether
// it ran.
func (f *fleet) renewAll(caller int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		mark := fmt.Sprintf("%d-%d", caller, n)
		for try := range 6 {
			select {
			case <-stop:
				return
			default:
			}
			header := http.Header{"Idempotency-Key": {mark}, "Mark": {mark}}
			node := f.nodes[(caller+try)%2]
			status, _, err := f.call(http.MethodPost, "http://"+node.Caller+"/renew/"+mark, header, []byte(mark))
			if err == nil && status == http.StatusOK {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestRepeatGetsFirstAnswer resends a renewal: it runs once and both answers
// are the same.
func TestRepeatGetsFirstAnswer(t *testing.T) {
	f, a, b := ready(t)
	header := http.Header{"Idempotency-Key": {"k"}, "Mark": {"k"}}
	var first []byte
	f.eventually("first answer", func() error {
		status, body, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/renew/k", header, []byte("x"))
		first = body
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	})
	_, second, err := f.call(http.MethodPost, "http://"+f.nodes[1].Caller+"/renew/k", header, []byte("x"))
	if err != nil || !bytes.Equal(first, second) {
		t.Errorf("answers %q and %q, error %v", first, second, err)
	}
	if n := a.RunCounts()["k"] + b.RunCounts()["k"]; n != 1 {
		t.Errorf("ran %d times", n)
	}
	status, _, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/renew/k", header, []byte("y"))
	if err != nil || status != http.StatusUnprocessableEntity {
		t.Errorf("another request under the key: status %d, error %v", status, err)
	}
}

// TestNotRunIsTrue crashes every backend server: the refusals that callers get
// say that nothing ran.
func TestNotRunIsTrue(t *testing.T) {
	f, a, b := ready(t)
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
