package trials

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/platform"
	"github.com/damaskpitch/damaskpitch/spec"
)

// instance is a backend server that uses the headers of the users' platform.
type instance struct {
	id     string
	names  node.Headers
	server *httptest.Server

	mu       sync.Mutex
	received []http.Header
	// handle reports whether it wrote the response.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

func newInstance(t *testing.T, id string) *instance {
	i := &instance{id: id, names: platform.Headers()}
	i.server = httptest.NewServer(http.HandlerFunc(i.serve))
	t.Cleanup(i.server.Close)
	return i
}

func (i *instance) addr() string { return strings.TrimPrefix(i.server.URL, "http://") }

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	i.mu.Lock()
	i.received = append(i.received, r.Header.Clone())
	handle := i.handle
	i.mu.Unlock()
	w.Header().Set(i.names.RequestID, r.Header.Get(i.names.RequestID))
	if r.Header.Get(i.names.ExpectInstance) != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if handle != nil && handle(w, r) {
		return
	}
	w.Header().Set(i.names.ResponseStamp, "stamp")
	fmt.Fprint(w, i.id)
}

// setHandler replaces the handler of further requests; nil restores the default.
func (i *instance) setHandler(handle func(w http.ResponseWriter, r *http.Request) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.handle = handle
}

func (i *instance) requests() []http.Header {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]http.Header(nil), i.received...)
}

// report reports an instance's state to a node, as the platform does.
func (f *fleet) report(node int, i *instance, service, state string, sequence int) (int, error) {
	return f.reportAddr(node, i.id, i.addr(), service, state, sequence, 4)
}

// reportAddr is report for an instance that is given by its ID and address.
func (f *fleet) reportAddr(node int, id, addr, service, state string, sequence, slots int) (int, error) {
	body := fmt.Sprintf(`{"service":%q,"addr":%q,"center":"mida","version":"v1","slots":%d,"state":%q,"warm":"0ms","sequence":%d,"born":1}`,
		service, addr, slots, state, sequence)
	status, _, err := f.call(http.MethodPut, "http://"+f.nodes[node].Local+"/v1/instances/"+id, nil, []byte(body))
	return status, err
}

// sendPlatform sends one request to a node, as a caller on the platform does.
func (f *fleet) sendPlatform(node int, method, path, id string) (int, string, http.Header, error) {
	names := platform.Headers()
	r, err := http.NewRequest(method, "http://"+f.nodes[node].Caller+path, bytes.NewReader(nil))
	if err != nil {
		return 0, "", nil, err
	}
	r.Host = "h.example"
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Timeout, "3000")
	r.Header.Set(names.CallerService, "forged")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return response.StatusCode, body.String(), response.Header, err
}

func platformPlan() plan.Plan {
	p := plan.Plan{Version: 2}
	for _, name := range []string{"lookup", "issue"} {
		p.Services = append(p.Services, plan.Service{Name: name, Health: "/healthz", Conns: 300, Protocol: "h1"})
	}
	p.Routes = []plan.Route{
		{Name: "a", Host: "h.example", Path: "/a/", Kind: plan.Idempotent, Timeout: spec.Duration(2 * time.Second), Service: "lookup", Attempts: 2},
		{Name: "b", Host: "h.example", Path: "/b/", Kind: plan.Once, Timeout: spec.Duration(2 * time.Second), Service: "lookup", Attempts: 2},
	}
	return p
}

// startPlatformFleet starts a control host and two nodes with the users' headers, and
// waits until they listen.
func startPlatformFleet(t *testing.T) *fleet {
	f := newJoiningFleet(t, 1, 0)
	f.controls[0].Join = []string{f.controls[0].API}
	f.startControl(0)
	for n := range 2 {
		settings := newFleet(t, 1, 1).nodes[0]
		settings.Name = fmt.Sprintf("n%d", n+1)
		settings.Control = []string{f.controls[0].Peer}
		settings.Service = "issue"
		settings.Ready = freeAddr(t)
		f.nodes = append(f.nodes, settings)
		f.start(settings.Name, "node", settings, "--platform")
	}
	f.awaitListening()
	return f
}

// awaitListening waits until the nodes accept connections at the addresses that instances,
// callers and readiness checks use. A node opens them in no particular order.
func (f *fleet) awaitListening() {
	f.eventually("listening nodes", func() error {
		for _, n := range f.nodes {
			for _, addr := range []string{n.Local, n.Caller, n.Ready} {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					return fmt.Errorf("%s: %w", n.Name, err)
				}
				if err := conn.Close(); err != nil {
					return fmt.Errorf("%s: %w", n.Name, err)
				}
			}
		}
		return nil
	})
}

// readyStatus returns the status of a node's readiness check, or 0.
func (f *fleet) readyStatus(n int) int {
	status, _, _ := f.call(http.MethodGet, "http://"+f.nodes[n].Ready+"/v1/ready", nil, nil)
	return status
}

// startInstances starts two instances of the lookup service and waits until both nodes
// send requests to both.
func (f *fleet) startInstances(t *testing.T) (*instance, *instance) {
	f.eventually("plan", func() error { return f.checkAccepted(f.putPlan(0, platformPlan(), 0)) })
	first, second := newInstance(t, "i-1"), newInstance(t, "i-2")
	for n, i := range []*instance{first, second} {
		if status, err := f.report(n, i, "lookup", "ready", 1); status != http.StatusOK || err != nil {
			t.Fatalf("report: %d, %v", status, err)
		}
	}
	f.eventually("both instances serve both nodes", func() error { return f.checkSpread(first, second) })
	return first, second
}

// TestPlatform tests the interface to the users' platform from end to end: a
// plan, instances that report their state, requests with the platform's headers,
// faulty instances, and an instance that leaves.
func TestPlatform(t *testing.T) {
	f := startPlatformFleet(t)
	if status, _, _, err := f.sendPlatform(0, http.MethodGet, "/a/1", "early"); status != http.StatusServiceUnavailable || err != nil || f.readyStatus(0) == http.StatusOK {
		t.Errorf("before the first plan: status %d, %v, readiness %d", status, err, f.readyStatus(0))
	}
	first, second := f.startInstances(t)
	f.checkRequests(t, first)
	f.checkFailures(t, first, second)
	f.checkLeaving(t, first)
}

// checkSpread checks that every node sends requests to all listed instances.
func (f *fleet) checkSpread(list ...*instance) error {
	for n := range f.nodes {
		got := map[string]bool{}
		for k := range 40 {
			status, body, _, err := f.sendPlatform(n, http.MethodGet, "/a/1", fmt.Sprintf("s-%d-%d", n, k))
			if err != nil || status != http.StatusOK {
				return errors.Newf("node %d: status %d, %v", n, status, err)
			}
			got[body] = true
		}
		if len(got) != len(list) {
			return errors.Newf("node %d: responses from %v", n, got)
		}
	}
	return nil
}

// checkRequests checks the headers that an instance received and a caller got
// back, and the status of an unknown path.
func (f *fleet) checkRequests(t *testing.T, i *instance) {
	names := platform.Headers()
	for _, h := range i.requests() {
		if h.Get(names.CallerService) != "issue" || h.Get(names.ExpectInstance) != i.id || h.Get(names.TimeLeft) == "" || h.Get(names.RequestID) == "" {
			t.Fatalf("an instance received the headers %v", h)
		}
		for name := range h {
			if strings.HasPrefix(name, "Damaskpitch-") || strings.HasPrefix(name, "Dp-") {
				t.Fatalf("an instance received the internal header %s", name)
			}
		}
	}
	status, _, _, err := f.sendPlatform(0, http.MethodGet, "/none/", "n-1")
	if status != http.StatusNotFound || err != nil {
		t.Errorf("unknown path: %d, %v", status, err)
	}
	status, _, header, err := f.sendPlatform(0, http.MethodGet, "/a/1", "e-1")
	if status != http.StatusOK || header.Get(names.RequestID) != "e-1" || header.Get(names.ResponseStamp) != "stamp" || err != nil {
		t.Errorf("response: %d, %v, %v", status, header, err)
	}
}

// checkFailures lets one instance fail in several ways. Idempotent requests must
// be served by the other one, and both must serve again after the faults end.
func (f *fleet) checkFailures(t *testing.T, faulty, healthy *instance) {
	names := platform.Headers()
	cases := []struct {
		name   string
		handle func(w http.ResponseWriter, r *http.Request) bool
	}{
		{"error", func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}},
		{"shed", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(names.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}},
		{"success without proof", func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write([]byte("no stamp"))
			return true
		}},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(names.RequestID, "another")
			w.Header().Set(names.ResponseStamp, "stamp")
			return true
		}},
		{"aborted", func(w http.ResponseWriter, _ *http.Request) bool {
			panic(http.ErrAbortHandler)
		}},
	}
	for _, c := range cases {
		faulty.setHandler(c.handle)
		for k := range 10 {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), k)
			status, body, _, err := f.sendPlatform(k%2, http.MethodGet, "/a/1", id)
			if status != http.StatusOK || body != healthy.id || err != nil {
				t.Errorf("%s: status %d, %q, %v", c.name, status, body, err)
			}
		}
	}
	faulty.setHandler(nil)
	f.eventually("responses from the recovered instance", func() error { return f.checkSpread(faulty, healthy) })
}

// checkLeaving reports an instance as leaving. It must get no further requests
// after the grace period, and an older report must not bring it back.
func (f *fleet) checkLeaving(t *testing.T, leaving *instance) {
	if status, err := f.report(0, leaving, "lookup", "leaving", 3); status != http.StatusOK || err != nil {
		t.Fatalf("leaving: %d, %v", status, err)
	}
	if status, err := f.report(0, leaving, "lookup", "ready", 2); status != http.StatusOK || err != nil {
		t.Fatalf("older report: %d, %v", status, err)
	}
	if status, err := f.report(0, leaving, "lookup", "odd", 4); status != http.StatusBadRequest || err != nil {
		t.Fatalf("unknown state: %d, %v", status, err)
	}
	time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
	before := len(leaving.requests())
	for k := range 20 {
		status, _, _, err := f.sendPlatform(k%2, http.MethodPost, "/b/1", fmt.Sprintf("l-%d", k))
		if status != http.StatusOK || err != nil {
			t.Errorf("while an instance leaves: %d, %v", status, err)
		}
	}
	if after := len(leaving.requests()); after != before {
		t.Errorf("%d requests reached an instance that had left", after-before)
	}
	var p plan.Plan
	if err := f.getControl(0, "/v1/plan", &p); err != nil || p.Version != 2 || len(p.Routes) != 2 {
		data, _ := json.Marshal(p)
		t.Errorf("plan read back: %s, %v", data, err)
	}
}
