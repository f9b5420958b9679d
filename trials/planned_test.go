package trials

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// _stopTimeout is how long a planned stop may take in these trials before the host kills
// the process.
const _stopTimeout = 6 * time.Second

// _stoppingSlots is the number of slots of each instance in these trials.
const _stoppingSlots = 2

// startStoppingFleet is startServingFleet for hosts on which no successor takes over.
func startStoppingFleet(t *testing.T) (*fleet, *fake.Backend, *fake.Backend) {
	f := newFleet(t, 1, 2)
	for n := range f.nodes {
		f.nodes[n].Stop = spec.Duration(_stopTimeout)
	}
	f.startAll()
	service := lookupService()
	service.Slots = _stoppingSlots
	f.putService(0, service, "first")
	a := f.startBackend("lookup-1", "lookup", 0)
	b := f.startBackend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	for node := range f.nodes {
		f.eventually("node registration", func() error { return f.checkRegistered(node) })
	}
	return f, a, b
}

// memberOf returns a node's entry in the directory.
func (f *fleet) memberOf(node int) view.Member {
	hosts, err := f.members()
	if err != nil {
		f.t.Fatal(err)
	}
	at := slices.IndexFunc(hosts, func(h view.Host) bool { return h.Member.Node == f.nodes[node].Name })
	return hosts[at].Member
}

// attempt sends an attempt for the instance lookup-1 directly to its owner, as an ingress
// does, and returns the status and the reason of a refusal.
func (f *fleet) attempt(owner view.Member, seq int) (int, string, error) {
	header := http.Header{
		"Dp-Secret":   {_key},
		"Dp-Attempt":  {fmt.Sprintf("stranger.1.%d", seq)},
		"Dp-Owner":    {strconv.FormatUint(owner.Epoch, 10)},
		"Dp-Instance": {"lookup-1"},
		"Dp-Left":     {"10000"},
	}
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+owner.Addr+"/check/1", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header = header
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Damaskpitch-Reason"), nil
}

// TestInstanceServesWhileItsNodeStops guards against sound instances that get nothing
// while their nodes stop: in a rolling restart, that takes a large part of a service away.
func TestInstanceServesWhileItsNodeStops(t *testing.T) {
	f, a, _ := startStoppingFleet(t)
	a.SetBehaviour(fake.Behaviour{Delay: 50 * time.Millisecond})
	owner := f.memberOf(0)
	seq := 0
	for range 5 {
		seq++
		if status, reason, err := f.attempt(owner, seq); status != http.StatusOK {
			t.Fatalf("before the stop: status %d, %s, %v", status, reason, err)
		}
	}
	stopped := time.Now()
	f.terminate(f.procs[f.nodes[0].Name].Process)
	for time.Since(stopped) < time.Second {
		seq++
		if status, reason, err := f.attempt(owner, seq); status != http.StatusOK {
			t.Errorf("%s after the SIGTERM: status %d, %s, %v", time.Since(stopped).Round(time.Millisecond), status, reason, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStopIsNotHeldUpByUnusedConnections guards against a planned stop that waits for
// connections on which no request has come; the instance is out of service meanwhile.
func TestStopIsNotHeldUpByUnusedConnections(t *testing.T) {
	f, _, _ := startStoppingFleet(t)
	node := f.procs[f.nodes[0].Name]
	f.terminate(node.Process)
	stopped := time.Now()
	time.Sleep(2 * time.Second)
	for _, addr := range []string{f.nodes[0].Caller, f.nodes[0].Peer} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	if err := node.Wait(); err != nil {
		t.Errorf("node did not exit cleanly: %v", err)
	}
	delete(f.procs, f.nodes[0].Name)
	if took := time.Since(stopped); took > 4500*time.Millisecond {
		t.Errorf("the stop took %s without any request", took)
	}
}

// sendRenewal sends a request that must run once on a connection, and returns its status,
// or an error if the connection ends without a response.
func sendRenewal(conn net.Conn, id string) (int, error) {
	if _, err := fmt.Fprintf(conn, "POST /renew/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nMark: %s\r\nContent-Length: 0\r\n\r\n", id, id, id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// TestLateRequestInStop guards against requests that a stopping node still passes on when
// there is no time left to run them, and that are cut when its host kills it. They come on
// a connection that was opened before the node stopped listening, or find all slots taken.
func TestLateRequestInStop(t *testing.T) {
	const service = 3100 * time.Millisecond
	cases := []struct {
		name string
		sent time.Duration // after the SIGTERM
		busy bool          // all slots are taken
	}{
		{name: "shortly before the listener closes", sent: 3020 * time.Millisecond},
		{name: "after the listener was closed", sent: 3200 * time.Millisecond},
		{name: "in the last third", sent: 4500 * time.Millisecond},
		{name: "waits for a slot", sent: 2700 * time.Millisecond, busy: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, a, b := startStoppingFleet(t)
			a.SetBehaviour(fake.Behaviour{Delay: service})
			b.SetBehaviour(fake.Behaviour{Delay: service})
			node := f.procs[f.nodes[0].Name]
			f.terminate(node.Process)
			stopped := time.Now()
			kill := time.AfterFunc(_stopTimeout, func() { _ = node.Process.Kill() })
			defer kill.Stop()
			time.Sleep(1700 * time.Millisecond)
			conn, err := net.Dial("tcp", f.nodes[0].Caller)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			var others sync.WaitGroup
			defer others.Wait()
			for n := range 2 * _stoppingSlots {
				if c.busy {
					others.Go(func() { _, _ = f.get(1, fmt.Sprintf("/check/busy-%d", n)) })
				}
			}
			time.Sleep(time.Until(stopped.Add(c.sent)))
			status, err := sendRenewal(conn, "late")
			took := time.Since(stopped) - c.sent
			_ = node.Wait()
			delete(f.procs, f.nodes[0].Name)
			ran := a.RunCounts()["late"] + b.RunCounts()["late"]
			t.Logf("status %d, %v, %s after it was sent; run %d times", status, err, took.Round(time.Millisecond), ran)
			if err != nil && ran > 0 {
				t.Errorf("the request was run and its response cut: %v", err)
			}
			if status == http.StatusServiceUnavailable && ran > 0 {
				t.Errorf("the request was refused and run")
			}
			if status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
				t.Errorf("status %d: the caller cannot tell whether the request ran", status)
			}
		})
	}
}

// TestAttemptOutlastsListener guards against an attempt that is given up because its owner,
// which is stopping, no longer accepts the questions about it.
func TestAttemptOutlastsListener(t *testing.T) {
	f, a, b := startStoppingFleet(t)
	if err := b.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lookupService().Grace.Std())
	a.SetBehaviour(fake.Behaviour{Delay: 4 * time.Second})
	f.terminate(f.procs[f.nodes[0].Name].Process)
	time.Sleep(500 * time.Millisecond)
	header := http.Header{"Request-Id": {"long"}, "Timeout-Ms": {"9000"}}
	status, body, err := f.call(http.MethodGet, "http://"+f.nodes[1].Caller+"/check/long", header, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("status %d, %s, %v", status, body, err)
	}
}
