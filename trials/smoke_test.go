package trials

import (
	"fmt"
	"testing"
)

// TestEndToEnd sends requests through nodes to backend servers, with every
// process separate.
func TestEndToEnd(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.putService(0, lookupService(), "first")
	f.startBackend("lookup-1", "lookup", 0)
	f.startBackend("lookup-2", "lookup", 1)
	for node := range f.nodes {
		f.eventually("first response", func() error {
			_, err := f.get(node, "/check/warm")
			return err
		})
	}
	for n := range 50 {
		for node := range f.nodes {
			if _, err := f.get(node, fmt.Sprintf("/check/%d-%d", node, n)); err != nil {
				t.Fatalf("node %d, request %d: %v", node, n, err)
			}
		}
	}
}
