package trials

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestPoisonRequest repeats a request that crashes every backend server that
// runs it, at both nodes. It may crash at most two of eight, and must then be
// refused, while other requests are served.
func TestPoisonRequest(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.putService(0, lookupService().WithFloor(6), "first")
	var servers []*fake.Backend
	for n := range 8 {
		servers = append(servers, f.startBackend(fmt.Sprintf("lookup-%d", n+1), "lookup", n%2))
	}
	f.awaitInstances(8)
	f.eventually("refusal of the request", func() error {
		status, body, err := f.call(http.MethodGet, "http://"+f.nodes[0].Caller+"/check/deadly", nil, nil)
		if err != nil || status != http.StatusUnprocessableEntity || !strings.Contains(string(body), "crashes") {
			return fmt.Errorf("status %d: %s, %w", status, body, err)
		}
		return nil
	})
	for n := range 10 {
		_, _, _ = f.call(http.MethodGet, "http://"+f.nodes[n%2].Caller+"/check/deadly", nil, nil)
	}
	crashed := 0
	for _, server := range servers {
		if server.Stopped() {
			crashed++
		}
	}
	if crashed > 2 {
		t.Errorf("%d of 8 backend servers crashed", crashed)
	}
	if _, err := f.get(1, "/check/harmless"); err != nil {
		t.Error(err)
	}
}
