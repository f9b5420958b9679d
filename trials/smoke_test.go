package trials

import (
	"fmt"
	"testing"
)

// TestThinPath serves requests from end to end through separate processes.
func TestThinPath(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.put(0, lookup(), "first")
	f.backend("lookup-1", "lookup", 0)
	f.backend("lookup-2", "lookup", 1)
	for node := range f.nodes {
		f.eventually("first answer", func() error {
			_, err := f.ask(node, "/check/warm")
			return err
		})
	}
	for n := range 50 {
		for node := range f.nodes {
			if _, err := f.ask(node, fmt.Sprintf("/check/%d-%d", node, n)); err != nil {
				t.Fatalf("node %d, request %d: %v", node, n, err)
			}
		}
	}
}
