package trials

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestLateReportAfterNodeRestart guards against a backend server that has left and gets
// requests again: its node confirmed that it leaves and restarts, and a report that was
// sent before arrives late at the new process.
func TestLateReportAfterNodeRestart(t *testing.T) {
	const observed = 3 * time.Second // the fleet learns of a new instance within this time
	cases := []struct {
		name  string
		leave func(f *fleet, i *instance) (int, error)
	}{
		{"withdrawn", func(f *fleet, i *instance) (int, error) {
			status, _, err := f.call(http.MethodDelete, "http://"+f.nodes[0].Local+"/v1/instances/"+i.id, nil, nil)
			return status, err
		}},
		{"leaving", func(f *fleet, i *instance) (int, error) {
			return f.report(0, i, "lookup", "leaving", 9)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startPlatformFleet(t)
			leaving, _ := f.startInstances(t)
			if status, err := c.leave(f, leaving); status != http.StatusOK || err != nil {
				t.Fatalf("departure: status %d, %v", status, err)
			}
			f.kill(f.nodes[0].Name)
			time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
			before := len(leaving.requests())
			f.start(f.nodes[0].Name, "node", f.nodes[0], "--platform")
			f.eventually("late report to the new process", func() error {
				status, err := f.report(0, leaving, "lookup", "ready", 5)
				if err != nil || status != http.StatusOK {
					return fmt.Errorf("status %d: %w", status, err)
				}
				return nil
			})
			for n, end := 0, time.Now().Add(observed); time.Now().Before(end); n++ {
				if _, _, _, err := f.sendPlatform(n%2, http.MethodGet, "/a/1", fmt.Sprintf("d-%d", n)); err != nil {
					t.Errorf("request %d: %v", n, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if got := len(leaving.requests()) - before; got > 0 {
				t.Errorf("%d requests reached a backend server whose departure was confirmed", got)
			}
		})
	}
}

// TestDepartureWithoutControl guards against the same while no control host replies: other
// nodes keep the departure, and the control hosts get it when they are back.
func TestDepartureWithoutControl(t *testing.T) {
	const (
		maxReply = time.Second // an instance waits for the reply that long
		observed = 4 * time.Second
	)
	f := startPlatformFleet(t)
	leaving, other := f.startInstances(t)
	f.nodes[0].Seeds = []string{f.nodes[1].Peer}
	f.eventually("both nodes in the view", f.checkConverged)
	f.kill(f.controls[0].Name)
	start := time.Now()
	status, _, err := f.call(http.MethodDelete, "http://"+f.nodes[0].Local+"/v1/instances/"+leaving.id, nil, nil)
	if took := time.Since(start); status != http.StatusOK || err != nil || took > maxReply {
		t.Fatalf("departure: status %d after %v, %v", status, took, err)
	}
	f.kill(f.nodes[0].Name)
	time.Sleep(spec.Service{}.WithDefaults().Grace.Std())
	f.start(f.nodes[0].Name, "node", f.nodes[0], "--platform")
	f.eventually("plan at the new process", func() error {
		if status := f.readyStatus(0); status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
	before := len(leaving.requests())
	if status, err := f.report(0, leaving, "lookup", "ready", 5); status != http.StatusOK || err != nil {
		t.Errorf("late report: status %d, %v", status, err)
	}
	observe := func(phase string) {
		for n, end := 0, time.Now().Add(observed); time.Now().Before(end); n++ {
			if n%50 == 0 {
				_, _ = f.report(1, other, "lookup", "ready", 10+n)
			}
			if status, _, _, err := f.sendPlatform(n%2, http.MethodGet, "/a/1", fmt.Sprintf("%s-%d", phase, n)); err != nil || status != http.StatusOK {
				t.Errorf("%s, request %d: status %d, %v", phase, n, status, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got := len(leaving.requests()) - before; got > 0 {
			t.Errorf("%s: %d requests reached a backend server whose departure was confirmed", phase, got)
		}
	}
	observe("without control")
	f.startControl(0)
	_, _ = f.report(0, leaving, "lookup", "ready", 6)
	observe("control is back")
}
