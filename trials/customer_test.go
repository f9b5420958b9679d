package trials

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/platform"
	"github.com/damaskpitch/damaskpitch/spec"
)

// customerPlan is platformPlan with two customers and a public route.
func customerPlan() plan.Plan {
	p := platformPlan()
	open := p.Routes[0]
	open.Name, open.Path, open.Public = "open", "/open/", true
	p.Routes = append(p.Routes, open)
	p.Customers = []plan.Customer{
		{Name: "large", Keys: []plan.Key{"secret-large-1", "secret-large-2"}},
		{Name: "small", Keys: []plan.Key{"secret-small"}},
	}
	return p
}

// sendWithHeader sends a GET request with further header lines to a node, and returns the
// status.
func (f *fleet) sendWithHeader(node int, path, id string, lines http.Header) (int, error) {
	names := platform.Headers()
	r, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[node].Caller+path, bytes.NewReader(nil))
	if err != nil {
		return 0, err
	}
	r.Host = "h.example"
	for name, values := range lines {
		r.Header[name] = values
	}
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Timeout, "3000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// startCustomerFleet starts two nodes with two instances and the plan of customers.
func startCustomerFleet(t *testing.T, revoke spec.Duration) (*fleet, []*instance) {
	f := startPlatformFleet(t)
	for n := range f.nodes {
		f.kill(f.nodes[n].Name)
		f.nodes[n].Revoke = revoke
		f.start(f.nodes[n].Name, "node", f.nodes[n], "--platform")
	}
	f.awaitListening()
	first, second := f.startInstances(t)
	f.eventually("customers", func() error {
		p := customerPlan()
		p.Version = 4
		return f.checkAccepted(f.putPlan(0, p, 2))
	})
	f.eventually("keys at both nodes", func() error {
		for n := range f.nodes {
			withKey, err := f.sendWithHeader(n, "/a/1", "warm", bearer("secret-small"))
			if err != nil {
				return err
			}
			without, err := f.sendWithHeader(n, "/a/1", "warm", http.Header{})
			if err != nil || withKey != http.StatusOK || without != http.StatusUnauthorized {
				return fmt.Errorf("node %d: %w %d with a key, %d without", n, errStatus, withKey, without)
			}
		}
		return nil
	})
	return f, []*instance{first, second}
}

func bearer(key string) http.Header {
	return http.Header{"Authorization": {"Bearer " + key}}
}

// TestCustomerKeys guards against a request that runs without a key or under the name of
// another customer, and against a key that reaches an instance or a log.
func TestCustomerKeys(t *testing.T) {
	f, instances := startCustomerFleet(t, 0)
	names := platform.Headers()
	forged := func(h http.Header) http.Header {
		h[names.Customer] = []string{"small", "other"}
		h["x-damaskpitch-tenant-id"] = []string{"small"}
		h["Dp-Customer"] = []string{"small"}
		return h
	}
	cases := []struct {
		name, path string
		lines      http.Header
		status     int
		customer   string
	}{
		{"key", "/a/1", bearer("secret-large-1"), http.StatusOK, "large"},
		{"second key", "/a/1", bearer("secret-large-2"), http.StatusOK, "large"},
		{"scheme in lower case", "/a/1", http.Header{"Authorization": {"bearer secret-small"}}, http.StatusOK, "small"},
		{"forged name", "/a/1", forged(bearer("secret-large-1")), http.StatusOK, "large"},
		{"public route", "/open/1", http.Header{}, http.StatusOK, ""},
		{"public route with a key", "/open/1", bearer("secret-large-1"), http.StatusOK, ""},
		{"forged name on a public route", "/open/1", forged(http.Header{}), http.StatusOK, ""},
		{"no key", "/a/1", http.Header{}, http.StatusUnauthorized, ""},
		{"forged name without a key", "/a/1", forged(http.Header{}), http.StatusUnauthorized, ""},
		{"unknown key", "/a/1", bearer("secret-large-3"), http.StatusUnauthorized, ""},
		{"digest of a key", "/a/1", bearer(string(plan.Key("secret-small").WithoutSecret())), http.StatusUnauthorized, ""},
		{"another scheme", "/a/1", http.Header{"Authorization": {"Basic secret-small"}}, http.StatusUnauthorized, ""},
		{"two keys", "/a/1", http.Header{"Authorization": {"Bearer secret-small", "Bearer secret-large-1"}}, http.StatusUnauthorized, ""},
	}
	for n, c := range cases {
		id := fmt.Sprint("case-", n)
		status, err := f.sendWithHeader(n%2, c.path, id, c.lines)
		if err != nil || status != c.status {
			t.Errorf("%s: status %d, %v", c.name, status, err)
		}
		ran := false
		for _, i := range instances {
			for _, got := range i.requests() {
				if got.Get(names.RequestID) != id {
					continue
				}
				ran = true
				if got.Get(names.Customer) != c.customer || len(got[names.Customer]) > 1 || got.Get("Authorization") != "" {
					t.Errorf("%s: the instance got %v", c.name, got)
				}
			}
		}
		if ran != (c.status == http.StatusOK) {
			t.Errorf("%s: ran %t", c.name, ran)
		}
	}
	f.checkLogsLack(t, "secret-")
}

// checkLogsLack checks that no process has logged a text.
func (f *fleet) checkLogsLack(t *testing.T, text string) {
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil || len(logs) == 0 {
		t.Fatalf("no logs: %v", err)
	}
	for _, file := range logs {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(data, []byte(text)) {
			t.Errorf("%s contains a key", filepath.Base(file))
		}
	}
}
