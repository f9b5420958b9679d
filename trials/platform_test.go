package trials

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// instance is a backend server that speaks the users' platform's headers.
type instance struct {
	id     string
	names  node.Headers
	server *httptest.Server

	mu     sync.Mutex
	seen   []http.Header
	answer func(w http.ResponseWriter, r *http.Request) bool // true when it did
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
	i.seen = append(i.seen, r.Header.Clone())
	answer := i.answer
	i.mu.Unlock()
	w.Header().Set(i.names.RequestID, r.Header.Get(i.names.RequestID))
	if r.Header.Get(i.names.ExpectInstance) != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if answer != nil && answer(w, r) {
		return
	}
	w.Header().Set(i.names.ResponseStamp, "stamp")
	fmt.Fprint(w, i.id)
}

// respond changes what the instance answers.
func (i *instance) respond(answer func(w http.ResponseWriter, r *http.Request) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answer = answer
}

func (i *instance) requests() []http.Header {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]http.Header(nil), i.seen...)
}

// report tells a node of an instance as its platform does.
func (f *fleet) report(node int, i *instance, service, state string, sequence int) (int, error) {
	body := fmt.Sprintf(`{"service":%q,"addr":%q,"center":"mida","version":"v1","slots":4,"state":%q,"warm":"0ms","sequence":%d,"born":1}`,
		service, i.addr(), state, sequence)
	status, _, err := f.call(http.MethodPut, "http://"+f.nodes[node].Local+"/v1/instances/"+i.id, nil, []byte(body))
	return status, err
}

// send sends one request to a node as a caller on the platform does.
func (f *fleet) send(node int, method, path, id string) (int, string, http.Header, error) {
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

// TestPlatform serves the users' platform from end to end: a plan, instances
// that report themselves, requests with the platform's headers, failures of
// instances, and an instance that leaves.
func TestPlatform(t *testing.T) {
	f := newFinders(t, 1, 0)
	f.controls[0].Join = []string{f.controls[0].API}
	f.startControl(0)
	for n := range 2 {
		extra := newFleet(t, 1, 1).nodes[0]
		extra.Name = fmt.Sprintf("n%d", n+1)
		extra.Control = []string{f.controls[0].Peer}
		extra.Service = "issue"
		extra.Ready = freeAddr(t)
		f.nodes = append(f.nodes, extra)
		f.start(extra.Name, "node", extra, "--platform")
	}
	ready := func(n int) int {
		status, _, _ := f.call(http.MethodGet, "http://"+f.nodes[n].Ready+"/v1/ready", nil, nil)
		return status
	}
	f.eventually("listening", func() error {
		if ready(0) == 0 || ready(1) == 0 {
			return errors.New("a node does not listen")
		}
		return nil
	})
	if status, _, _, err := f.send(0, http.MethodGet, "/a/1", "early"); status != http.StatusServiceUnavailable || err != nil || ready(0) == http.StatusOK {
		t.Errorf("before any plan: status %d, %v, ready %d", status, err, ready(0))
	}
	f.eventually("plan", func() error { return f.accepted(f.declare(0, platformPlan(), 0)) })
	first, second := newInstance(t, "i-1"), newInstance(t, "i-2")
	for n, i := range []*instance{first, second} {
		if status, err := f.report(n, i, "lookup", "ready", 1); status != http.StatusOK || err != nil {
			t.Fatalf("report: %d, %v", status, err)
		}
	}
	f.eventually("both instances serve both nodes", func() error { return f.spread(first, second) })
	f.checkRequests(t, first)
	f.checkFailures(t, first, second)
	f.checkLeaving(t, first)
}

// spread wants both instances to answer through each node.
func (f *fleet) spread(list ...*instance) error {
	for n := range f.nodes {
		got := map[string]bool{}
		for k := range 40 {
			status, body, _, err := f.send(n, http.MethodGet, "/a/1", fmt.Sprintf("s-%d-%d", n, k))
			if err != nil || status != http.StatusOK {
				return errors.Newf("node %d: status %d, %v", n, status, err)
			}
			got[body] = true
		}
		if len(got) != len(list) {
			return errors.Newf("node %d: answers of %v", n, got)
		}
	}
	return nil
}

// checkRequests looks at what instances and callers saw.
func (f *fleet) checkRequests(t *testing.T, i *instance) {
	names := platform.Headers()
	for _, h := range i.requests() {
		if h.Get(names.CallerService) != "issue" || h.Get(names.ExpectInstance) != i.id || h.Get(names.TimeLeft) == "" || h.Get(names.RequestID) == "" {
			t.Fatalf("an instance got %v", h)
		}
		for name := range h {
			if strings.HasPrefix(name, "Damaskpitch-") || strings.HasPrefix(name, "Dp-") {
				t.Fatalf("an instance got the internal header %s", name)
			}
		}
	}
	status, _, _, err := f.send(0, http.MethodGet, "/none/", "n-1")
	if status != http.StatusNotFound || err != nil {
		t.Errorf("unknown path: %d, %v", status, err)
	}
	status, _, header, err := f.send(0, http.MethodGet, "/a/1", "e-1")
	if status != http.StatusOK || header.Get(names.RequestID) != "e-1" || header.Get(names.ResponseStamp) != "stamp" || err != nil {
		t.Errorf("answer: %d, %v, %v", status, header, err)
	}
}

// checkFailures lets one instance fail in many ways: idempotent requests are
// served by the other one, and "not run" is told from the rest.
func (f *fleet) checkFailures(t *testing.T, bad, good *instance) {
	names := platform.Headers()
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request) bool
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
		{"answer of another request", func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(names.RequestID, "another")
			w.Header().Set(names.ResponseStamp, "stamp")
			return true
		}},
		{"cut", func(w http.ResponseWriter, _ *http.Request) bool {
			panic(http.ErrAbortHandler)
		}},
	}
	for _, c := range cases {
		bad.respond(c.answer)
		for k := range 10 {
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), k)
			status, body, _, err := f.send(k%2, http.MethodGet, "/a/1", id)
			if status != http.StatusOK || body != good.id || err != nil {
				t.Errorf("%s: status %d, %q, %v", c.name, status, body, err)
			}
		}
	}
	bad.respond(nil)
	f.eventually("the instance is tried again", func() error { return f.spread(bad, good) })
}

// checkLeaving reports an instance as leaving: it gets nothing any more, and an
// older report does not bring it back.
func (f *fleet) checkLeaving(t *testing.T, leaver *instance) {
	if status, err := f.report(0, leaver, "lookup", "leaving", 3); status != http.StatusOK || err != nil {
		t.Fatalf("leaving: %d, %v", status, err)
	}
	if status, err := f.report(0, leaver, "lookup", "ready", 2); status != http.StatusOK || err != nil {
		t.Fatalf("late report: %d, %v", status, err)
	}
	if status, err := f.report(0, leaver, "lookup", "odd", 4); status != http.StatusBadRequest || err != nil {
		t.Fatalf("unknown state: %d, %v", status, err)
	}
	time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
	before := len(leaver.requests())
	for k := range 20 {
		status, _, _, err := f.send(k%2, http.MethodPost, "/b/1", fmt.Sprintf("l-%d", k))
		if status != http.StatusOK || err != nil {
			t.Errorf("while an instance leaves: %d, %v", status, err)
		}
	}
	if after := len(leaver.requests()); after != before {
		t.Errorf("%d requests reached an instance that had left", after-before)
	}
	var p plan.Plan
	if err := f.get(0, "/v1/plan", &p); err != nil || p.Version != 2 || len(p.Routes) != 2 {
		data, _ := json.Marshal(p)
		t.Errorf("plan read back: %s, %v", data, err)
	}
}
