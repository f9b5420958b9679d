package trials

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/fake"
)

// patchRoute writes a patch that adds a route at a path of its own.
func (f *fleet) patchRoute(match uint64, name, path string) (int, []byte, error) {
	body := fmt.Sprintf(`{"version":%d,"put":{"routes":[{"name":"%s","host":"h.example","path":"%s","kind":"idempotent",`+
		`"timeout":"2s","service":"lookup"}]}}`, match+1, name, path)
	header := http.Header{"If-Match": {fmt.Sprint(match)}}
	return f.call(http.MethodPatch, "http://"+f.controls[0].API+"/v1/plan", header, []byte(body))
}

// TestAlteredPlan guards against an acknowledged route that is gone, since the bytes of
// another route's name are replaced so that both have one name.
func TestAlteredPlan(t *testing.T) {
	f := newJoiningFleet(t, 1, 0)
	f.controls[0].Join = []string{f.controls[0].API}
	f.startControl(0)
	f.eventually("plan", func() error { return f.checkAccepted(f.putPlan(0, platformPlan(), 0)) })
	before, err := f.plan(0)
	if err != nil {
		t.Fatal(err)
	}
	for n, name := range []string{"r-t\xe9", "r-t\xe8", `r-t\ud800`, `r-t\ud801`, "r-t\",\"name\":\"other"} {
		status, body, err := f.patchRoute(before.Version, name, fmt.Sprintf("/new%d/", n))
		if status != http.StatusBadRequest || !strings.Contains(string(body), "invalid") {
			t.Errorf("%q: status %d, %s, %v", name, status, body, err)
		}
		if after, err := f.plan(0); err != nil || !reflect.DeepEqual(after, before) {
			t.Errorf("%q: the plan is now %+v, %v", name, after, err)
		}
	}
	for n, name := range []string{"r-té", "r-tè"} {
		match := before.Version + uint64(n)
		f.eventually("patch "+name, func() error { return f.checkAccepted(f.patchRoute(match, name, fmt.Sprintf("/new%d/", n))) })
	}
	f.eventually("both routes", func() error {
		after, err := f.plan(0)
		if err != nil || len(after.Routes) != len(before.Routes)+2 {
			return errors.Newf("%d routes, %v", len(after.Routes), err)
		}
		return nil
	})
}

// latin1Title is a header value that is valid in HTTP, but not UTF-8.
const latin1Title = "caf\xe9"

// postRenewal sends a request that must not run twice. It returns the status, the body and
// the Title header.
func (f *fleet) postRenewal(node int, id string, header http.Header) (int, string, string, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), _maxWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.nodes[node].Caller+"/renew/1", strings.NewReader(id))
	if err != nil {
		return 0, "", "", err
	}
	r.Header = header
	r.Header.Set("Request-Id", id)
	r.Header.Set("Mark", id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Header.Get("Title"), err
}

// TestRepeatGetsLatin1Header guards against an idempotency key whose response cannot be
// recorded, since a header is not UTF-8: repeats then get 409 instead of the response.
func TestRepeatGetsLatin1Header(t *testing.T) {
	f, a, b := startServingFleet(t)
	for _, server := range []*fake.Backend{a, b} {
		server.SetBehaviour(fake.Behaviour{Header: http.Header{"Title": {latin1Title}}})
	}
	var first string
	f.eventually("first response", func() error {
		status, body, title, err := f.postRenewal(0, "k", http.Header{"Idempotency-Key": {"k"}})
		first = body
		if status != http.StatusOK || title != latin1Title {
			return errors.Newf("status %d, %q, %v", status, title, err)
		}
		return nil
	})
	for node := range f.nodes {
		status, body, title, err := f.postRenewal(node, "k", http.Header{"Idempotency-Key": {"k"}})
		if status != http.StatusOK || body != first || title != latin1Title {
			t.Errorf("repeat at node %d: status %d, %s, %q, %v", node, status, body, title, err)
		}
	}
	if runs := a.RunCounts()["k"] + b.RunCounts()["k"]; runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

// TestLostResponseWithLatin1Header guards against a finished response that cannot be fetched
// from its owner, since a header is not UTF-8.
func TestLostResponseWithLatin1Header(t *testing.T) {
	const work = 400 * time.Millisecond
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
	b.SetBehaviour(fake.Behaviour{Delay: work, Header: http.Header{"Title": {latin1Title}}})
	for round := range 3 {
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() {
				id := fmt.Sprintf("latin-%d-%d", round, n)
				status, body, title, err := f.postRenewal(0, id, http.Header{})
				if status != http.StatusOK || title != latin1Title || !strings.Contains(body, id) {
					t.Errorf("%s: status %d, %s, %q, %v", id, status, body, title, err)
				}
			})
		}
		time.Sleep(work / 2)
		relay.Silence()
		wg.Wait()
	}
}

// TestRouteNameWithControlCharacters guards against a route that is accepted and then never
// served, since its name cannot be sent in a header between nodes.
func TestRouteNameWithControlCharacters(t *testing.T) {
	f := startRawFleet(t, startRaw(t, "i-1", writeSound), startRaw(t, "i-2", writeSound))
	names := []string{"tab\there", "line\nbreak", "nul\x00", "\x7f", " edges ", "café", "\u2028", `"quoted"`}
	p := platformPlan()
	p.Version++
	for n, name := range names {
		r := p.Routes[0]
		r.Name, r.Path = name, fmt.Sprintf("/new%d/", n)
		p.Routes = append(p.Routes, r)
	}
	f.eventually("plan", func() error { return f.checkAccepted(f.putPlan(0, p, p.Version-1)) })
	for n, name := range names {
		f.eventually(fmt.Sprintf("response for route %q", name), func() error {
			for node := range f.nodes {
				id := fmt.Sprintf("c-%d-%d-%d", n, node, time.Now().UnixNano())
				if status, body, _, err := f.sendPlatform(node, http.MethodGet, fmt.Sprintf("/new%d/x", n), id); status != http.StatusOK {
					return errors.Newf("node %d: status %d, %s, %v", node, status, body, err)
				}
			}
			return nil
		})
	}
}
