package trials

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/view"
)

// load sends requests and downloads from several callers until it is stopped.
type load struct {
	f      *fleet
	wg     sync.WaitGroup
	stop   chan struct{}
	served atomic.Int64
	mu     sync.Mutex
	errs   []error
}

func startLoad(f *fleet, callers int, nodes ...int) *load {
	l := &load{f: f, stop: make(chan struct{})}
	for n := range callers {
		l.wg.Go(func() { l.run(n, nodes[n%len(nodes)]) })
	}
	return l
}

func (l *load) run(caller, node int) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if err := l.request(caller, node, n); err != nil {
			l.mu.Lock()
			l.errs = append(l.errs, err)
			l.mu.Unlock()
			continue
		}
		l.served.Add(1)
	}
}

// request sends a request, or a download for every fourth caller, and checks the
// response.
func (l *load) request(caller, node, n int) error {
	if caller%4 != 0 {
		_, err := l.f.get(node, fmt.Sprintf("/check/%d-%d", caller, n))
		return err
	}
	path := fmt.Sprintf("/blob/%d-%d", caller, n)
	status, body, err := l.f.call(http.MethodGet, "http://"+l.f.nodes[node].Caller+path, nil, nil)
	if err == nil && (status != http.StatusOK || !bytes.Equal(body, fake.Blob(path))) {
		return fmt.Errorf("download: status %d, %d bytes", status, len(body))
	}
	return err
}

// end stops the callers and returns the errors of failed requests.
func (l *load) end() []error {
	close(l.stop)
	l.wg.Wait()
	return l.errs
}

// TestNodeRestart replaces both nodes by new processes in turn, under load with
// downloads. No request may be cut or refused.
func TestNodeRestart(t *testing.T) {
	f, a, b := startServingFleet(t)
	a.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	l := startLoad(f, 8, 0, 1)
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		f.replaceNode(round % 2)
	}
	time.Sleep(500 * time.Millisecond)
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("request failed: %v", err)
		}
	}
	t.Logf("served %d requests over 4 restarts", l.served.Load())
}

// replaceNode starts a new process for a node, and stops the old one once the
// new one is registered.
func (f *fleet) replaceNode(node int) {
	name := f.nodes[node].Name
	old := f.procs[name]
	f.startNode(node)
	f.eventually("registration of the new process", func() error { return f.checkRegistered(node) })
	f.terminate(old.Process)
	if err := old.Wait(); err != nil {
		f.t.Errorf("%s did not exit cleanly: %v", name, err)
	}
}

// checkRegistered checks that a node is registered with a later epoch than at the
// last check, and records that epoch.
func (f *fleet) checkRegistered(node int) error {
	hosts, err := f.members()
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if h.Member.Node == f.nodes[node].Name && h.Member.Epoch > f.epochs[h.Member.Node] {
			f.epochs[h.Member.Node] = h.Member.Epoch
			return nil
		}
	}
	return errors.New("not registered yet")
}

// terminate sends SIGTERM to a process.
func (f *fleet) terminate(p *os.Process) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
}

// TestGracefulStop stops a node with SIGTERM and without a replacement. Requests
// in flight at the node must finish, and the other node's callers must see no
// failure.
func TestGracefulStop(t *testing.T) {
	f, a, b := startServingFleet(t)
	a.SetBehaviour(fake.Behaviour{Delay: 300 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	l := startLoad(f, 6, 1)
	var inFlight sync.WaitGroup
	for n := range 3 {
		inFlight.Go(func() {
			if _, err := f.get(0, fmt.Sprintf("/check/in-flight-%d", n)); err != nil {
				t.Errorf("request in flight failed: %v", err)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	old := f.procs[f.nodes[0].Name]
	f.terminate(old.Process)
	inFlight.Wait()
	if err := old.Wait(); err != nil {
		t.Errorf("node did not exit cleanly: %v", err)
	}
	delete(f.procs, f.nodes[0].Name)
	time.Sleep(500 * time.Millisecond)
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("request at the other node failed: %v", err)
		}
	}
}

// TestLeavingBackend lets a backend server leave under load. No request may
// fail, and none may reach it after the grace period.
func TestLeavingBackend(t *testing.T) {
	f, a, _ := startServingFleet(t)
	l := startLoad(f, 6, 0, 1)
	time.Sleep(300 * time.Millisecond)
	if err := a.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lookupService().Grace.Std() + 200*time.Millisecond)
	before := a.RequestCount()
	time.Sleep(time.Second)
	if after := a.RequestCount(); after != before {
		t.Errorf("%d requests reached a backend server that had left", after-before)
	}
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("request failed: %v", err)
		}
	}
}

// TestAttemptAfterLeave sends attempts for a backend server that has left
// directly to its owner, as an ingress with a stale view would. They must be
// refused with the fate notrun.
func TestAttemptAfterLeave(t *testing.T) {
	f, a, _ := startServingFleet(t)
	hosts, err := f.members()
	if err != nil {
		t.Fatal(err)
	}
	owner := hosts[slices.IndexFunc(hosts, func(h view.Host) bool { return h.Member.Node == f.nodes[0].Name })]
	attempt := func(seq int) (int, http.Header) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+owner.Member.Addr+"/check/late", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Dp-Secret", _key)
		r.Header.Set("Dp-Attempt", fmt.Sprintf("stranger.1.%d", seq))
		r.Header.Set("Dp-Owner", strconv.FormatUint(owner.Member.Epoch, 10))
		r.Header.Set("Dp-Instance", "lookup-1")
		r.Header.Set("Dp-Left", "1000")
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		return response.StatusCode, response.Header
	}
	if status, header := attempt(1); status != http.StatusOK {
		t.Fatalf("before the leave: status %d, %v", status, header)
	}
	if err := a.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lookupService().Grace.Std() + 200*time.Millisecond)
	before := a.RequestCount()
	for seq := range 20 {
		status, header := attempt(2 + seq)
		if status != http.StatusServiceUnavailable || header.Get("Dp-Fate") != "notrun" {
			t.Fatalf("after the grace period: status %d, %v", status, header)
		}
	}
	if after := a.RequestCount(); after != before {
		t.Errorf("%d attempts reached a backend server that had left", after-before)
	}
}
