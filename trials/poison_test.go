package trials

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestDeadlyRequest sends a request that crashes each server that runs it,
// again and again at both nodes: it takes two of eight, and is refused then.
func TestDeadlyRequest(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.put(0, lookup().WithFloor(6), "first")
	var servers []*fake.Backend
	for n := range 8 {
		servers = append(servers, f.backend(fmt.Sprintf("lookup-%d", n+1), "lookup", n%2))
	}
	f.awaitInstances(8)
	f.eventually("refusal", func() error {
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
		t.Errorf("%d of 8 servers crashed", crashed)
	}
	if _, err := f.ask(1, "/check/innocent"); err != nil {
		t.Error(err)
	}
}
