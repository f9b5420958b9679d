package trials

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/spec"
)

// TestNodeStartsBehindNarrowLink guards against a node that starts behind a narrow link and
// never gets the state, since it takes longer to arrive than a pull may wait for a reply.
func TestNodeStartsBehindNarrowLink(t *testing.T) {
	const (
		services   = 60
		perService = 100
		// A relay forwards 32 KiB at once: 5 Mbit/s.
		chunkDelay = 50 * time.Millisecond
		maxTime    = 5 * time.Second
	)
	f := newFleet(t, 1, 1)
	f.startControl(0)
	for n := range services {
		s := spec.Service{Name: fmt.Sprint("s", n)}
		for r := range perService {
			s.Routes = append(s.Routes, spec.Route{Host: "permits.example", Path: fmt.Sprintf("/service-%d/route-number-%d", n, r)})
		}
		f.putService(0, s.WithDefaults(), s.Name)
	}
	relay, err := fake.StartRelay(t.Context(), f.controls[0].Peer)
	if err != nil {
		t.Fatal(err)
	}
	relay.SetLinks(fake.Link{}, fake.Link{Delay: chunkDelay})
	f.nodes[0].Control = []string{relay.Addr()}
	started := time.Now()
	f.startNode(0)
	f.eventually("the node has the state", f.checkConverged)
	if took := time.Since(started); took > maxTime {
		t.Errorf("the state was known after %s", took)
	}
}
