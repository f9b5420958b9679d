package trials

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

// TestLostResponseIsFetched silences the connections between two nodes while requests
// that must not run twice are at work. They run to their end, their responses are lost,
// and the callers must still get them, each its own, from the owner that ran them.
func TestLostResponseIsFetched(t *testing.T) {
	const (
		requests = 8
		work     = 400 * time.Millisecond
	)
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
	b.SetBehaviour(fake.Behaviour{Delay: work})
	for round := range 3 {
		var wg sync.WaitGroup
		for n := range requests {
			wg.Go(func() {
				id := fmt.Sprintf("lost-%d-%d", round, n)
				header := http.Header{"Request-Id": {id}, "Mark": {id}}
				status, body, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/renew/1", header, []byte(id))
				var answer fake.Response
				if err == nil && status == http.StatusOK {
					err = unmarshal(body, &answer)
				}
				if err != nil || status != http.StatusOK || answer.Request != id || answer.Body != id {
					t.Errorf("%s: status %d, %s, %v", id, status, body, err)
				}
			})
		}
		time.Sleep(work / 2)
		relay.Silence()
		wg.Wait()
	}
	for mark, n := range b.RunCounts() {
		if n != 1 {
			t.Errorf("%s ran %d times", mark, n)
		}
	}
}
