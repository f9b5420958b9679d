package trials

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/spec"
)

// TestSlowClaimLeavesTimeToSearch guards against a request that is refused with "no instance",
// without a try and with time left, since the claim of its key took half of its time.
func TestSlowClaimLeavesTimeToSearch(t *testing.T) {
	const (
		timeout = 3 * time.Second
		stall   = 1800 * time.Millisecond
	)
	f := newFleet(t, 1, 1)
	f.startAll()
	f.putService(0, spec.Service{
		Name: "photos", Floor: 1, Patience: spec.Quick, Warmup: spec.Duration(time.Millisecond), Slots: 4,
		Timeout: spec.Duration(timeout),
		Routes:  []spec.Route{{Path: "/photos", Method: http.MethodPost, Once: true}},
	}.WithDefaults(), "photos")
	f.startSink("sink-1", "photos", 0)
	f.awaitInstances(1)
	control := f.procs[f.controls[0].Name].Process
	if err := control.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(stall, func() { _ = control.Signal(syscall.SIGCONT) })
	header := http.Header{node.HeaderIdempotencyKey: {"key-1"}}
	status, body, err := f.call(http.MethodPost, "http://"+f.nodes[0].Caller+"/photos/1", header, []byte("x"))
	if status != http.StatusOK || err != nil {
		t.Errorf("status %d, %q, %v", status, body, err)
	}
}
