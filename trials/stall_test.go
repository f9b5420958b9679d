package trials

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestStalledOwners guards against uploads with time left that are refused since the owners
// stand still in turn for part of a second, so that each revokes an attempt.
func TestStalledOwners(t *testing.T) {
	const (
		uploads = 96
		stalls  = 6
		stall   = 400 * time.Millisecond
		overlap = 50 * time.Millisecond
	)
	f := newFleet(t, 1, 3)
	f.startAll()
	f.putService(0, spec.Service{
		Name: "photos", Floor: 1, Patience: spec.Quick, Warmup: spec.Duration(time.Millisecond), Slots: uploads,
		Timeout: spec.Duration(time.Minute),
		Routes:  []spec.Route{{Path: "/photos", Method: http.MethodPost, Once: true}},
	}.WithDefaults(), "photos")
	f.startSink("sink-1", "photos", 1)
	f.startSink("sink-2", "photos", 2)
	f.awaitInstances(2)
	var wg sync.WaitGroup
	for n := range stalls {
		owner := f.procs[f.nodes[1+n%2].Name].Process
		if err := owner.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(stall, func() { _ = owner.Signal(syscall.SIGCONT) })
		for range uploads / stalls {
			wg.Go(func() {
				status, body, err := f.upload(0, "/photos/1", _mebibyte)
				if status != http.StatusOK || err != nil {
					t.Errorf("status %d, %q, %v", status, body, err)
				}
			})
		}
		time.Sleep(stall - overlap)
	}
	wg.Wait()
}
