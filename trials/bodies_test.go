package trials

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestSlowBodies lets one of three instances begin its downloads at once and
// then send them in small pieces, with no gap that counts as a stall: it is
// ejected.
func TestSlowBodies(t *testing.T) {
	f, _, _ := ready(t)
	c := f.backend("lookup-3", "lookup", 0)
	f.awaitInstances(3)
	c.SetBehaviour(fake.Behaviour{ChunkDelay: 10 * time.Millisecond})
	stop := make(chan struct{})
	defer close(stop)
	for n := range 6 {
		go f.hammer(n%2, "/blob", stop)
	}
	f.awaitEjection("lookup-3")
}
