package trials

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestSlowDownloads lets one of three instances start its downloads at once and
// then send them in small chunks, with no gap long enough to count as a stall.
// The instance must still be ejected.
func TestSlowDownloads(t *testing.T) {
	f, _, _ := startServingFleet(t)
	c := f.startBackend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	c.SetBehaviour(fake.Behaviour{ChunkDelay: 10 * time.Millisecond})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.requestLoop(n%2, "/blob", stop)
	}
	f.awaitEjection("lookup-3")
}
