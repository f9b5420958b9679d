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

// load keeps callers and downloads busy until it is ended.
type load struct {
	f       *fleet
	wg      sync.WaitGroup
	stop    chan struct{}
	served  atomic.Int64
	mu      sync.Mutex
	failure []error
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
		if err := l.once(caller, node, n); err != nil {
			l.mu.Lock()
			l.failure = append(l.failure, err)
			l.mu.Unlock()
			continue
		}
		l.served.Add(1)
	}
}

func (l *load) once(caller, node, n int) error {
	if caller%4 != 0 {
		_, err := l.f.ask(node, fmt.Sprintf("/check/%d-%d", caller, n))
		return err
	}
	path := fmt.Sprintf("/blob/%d-%d", caller, n)
	status, body, err := l.f.call(http.MethodGet, "http://"+l.f.nodes[node].Caller+path, nil, nil)
	if err == nil && (status != http.StatusOK || !bytes.Equal(body, fake.Blob(path))) {
		return fmt.Errorf("download: status %d, %d bytes", status, len(body))
	}
	return err
}

func (l *load) end() []error {
	close(l.stop)
	l.wg.Wait()
	return l.failure
}

// TestNodeRestart replaces both nodes by successors, again and again, under
// load with downloads: no request is cut or refused.
func TestNodeRestart(t *testing.T) {
	f, a, b := ready(t)
	a.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 5 * time.Millisecond})
	l := startLoad(f, 8, 0, 1)
	for round := range 4 {
		time.Sleep(500 * time.Millisecond)
		f.succeed(round % 2)
	}
	time.Sleep(500 * time.Millisecond)
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("failed: %v", err)
		}
	}
	t.Logf("served %d requests over 4 restarts", l.served.Load())
}

// succeed starts a successor of a node, and stops the old process once the
// new one listens.
func (f *fleet) succeed(node int) {
	name := f.nodes[node].Name
	old := f.procs[name]
	f.startNode(node)
	f.eventually("successor", func() error { return f.enrolled(node) })
	f.stop(old.Process)
	if err := old.Wait(); err != nil {
		f.t.Errorf("%s did not stop cleanly: %v", name, err)
	}
}

func (f *fleet) enrolled(node int) error {
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
	return errors.New("not enrolled yet")
}

func (f *fleet) stop(p *os.Process) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
}

// TestPlannedStop stops a node without a successor: what is in flight there
// finishes, and the other node's callers notice nothing.
func TestPlannedStop(t *testing.T) {
	f, a, b := ready(t)
	a.SetBehaviour(fake.Behaviour{Delay: 300 * time.Millisecond})
	b.SetBehaviour(fake.Behaviour{Delay: 20 * time.Millisecond})
	l := startLoad(f, 6, 1)
	var own sync.WaitGroup
	for n := range 3 {
		own.Go(func() {
			if _, err := f.ask(0, fmt.Sprintf("/check/in-flight-%d", n)); err != nil {
				t.Errorf("cut: %v", err)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	old := f.procs[f.nodes[0].Name]
	f.stop(old.Process)
	own.Wait()
	if err := old.Wait(); err != nil {
		t.Errorf("did not stop cleanly: %v", err)
	}
	delete(f.procs, f.nodes[0].Name)
	time.Sleep(500 * time.Millisecond)
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("the other node's caller: %v", err)
		}
	}
}

// TestLeavingBackend lets a backend server leave under load: no request fails
// and none reaches it once the grace is over.
func TestLeavingBackend(t *testing.T) {
	f, a, _ := ready(t)
	l := startLoad(f, 6, 0, 1)
	time.Sleep(300 * time.Millisecond)
	if err := a.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lookup().Grace.Std() + 200*time.Millisecond)
	before := a.RequestCount()
	time.Sleep(time.Second)
	if after := a.RequestCount(); after != before {
		t.Errorf("%d requests reached a server that had left", after-before)
	}
	for n, err := range l.end() {
		if n < 5 {
			t.Errorf("failed: %v", err)
		}
	}
}

// TestLeftForGood sends an attempt to a server that has left the way an
// ingress with an old view would, straight to the owner: it is refused, with
// the proof that it did not run.
func TestLeftForGood(t *testing.T) {
	f, a, _ := ready(t)
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
		t.Fatalf("before it leaves: status %d, %v", status, header)
	}
	if err := a.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lookup().Grace.Std() + 200*time.Millisecond)
	before := a.RequestCount()
	for seq := range 20 {
		status, header := attempt(2 + seq)
		if status != http.StatusServiceUnavailable || header.Get("Dp-Fate") != "notrun" {
			t.Fatalf("after the grace: status %d, %v", status, header)
		}
	}
	if after := a.RequestCount(); after != before {
		t.Errorf("%d attempts reached a server that had left", after-before)
	}
}
