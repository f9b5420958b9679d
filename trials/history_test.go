package trials

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_checkTimeout = 30 * time.Second
	_anyRev       = math.MaxUint64
)

// register is a service's revision and floor.
type register struct {
	rev   uint64
	floor int
}

// request is a read, or a write of a floor if the revision matches.
type request struct {
	write bool
	match uint64
	floor int
}

// response is the result of a read or a write.
type response struct {
	conflict bool
	found    register
}

// registerModel is the sequential specification of a service.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(request), output.(response)
		switch {
		case !in.write:
			return out.found == s, s
		case out.conflict:
			return in.match != _anyRev && in.match != s.rev, s
		default:
			legal := out.found.rev > s.rev && (in.match == _anyRev || in.match == s.rev)
			return legal, register{rev: out.found.rev, floor: in.floor}
		}
	},
}

// mesh is a fleet whose control hosts reach each other through relays.
type mesh struct {
	*fleet
	relays map[[2]int]*fake.Relay // by source and destination
}

func newMesh(t *testing.T, controls, nodes int) *mesh {
	m := &mesh{fleet: newFleet(t, controls, nodes), relays: map[[2]int]*fake.Relay{}}
	for from := range m.controls {
		hosts := slices.Clone(m.controls[from].Hosts)
		for to := range hosts {
			if from == to {
				continue
			}
			r, err := fake.StartRelay(t.Context(), m.controls[to].Peer)
			if err != nil {
				t.Fatal(err)
			}
			m.relays[[2]int{from, to}] = r
			hosts[to].Addr = r.Addr()
		}
		m.controls[from].Hosts = hosts
	}
	return m
}

// dropLink drops all data on the connections from one host to another, without
// closing them.
func (m *mesh) dropLink(from, to int) {
	m.relays[[2]int{from, to}].SetLinks(fake.Link{Drop: true}, fake.Link{Drop: true})
}

// heal makes all relays forward data again.
func (m *mesh) heal() {
	for _, r := range m.relays {
		r.SetLinks(fake.Link{}, fake.Link{})
	}
}

// partition separates the first two hosts from the others.
func (m *mesh) partition() {
	for pair := range m.relays {
		if pair[0] < 2 != (pair[1] < 2) {
			m.dropLink(pair[0], pair[1])
		}
	}
}

// dropInbound drops all data on the connections that other hosts open to a
// host.
func (m *mesh) dropInbound(host int) {
	for pair := range m.relays {
		if pair[1] == host {
			m.dropLink(pair[0], pair[1])
		}
	}
}

// operator reads and writes one service at one host and records the history.
type operator struct {
	mesh    *mesh
	host    int
	rng     *rand.Rand
	lastRev uint64
	history []porcupine.Operation
}

func (o *operator) run(start time.Time, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(o.rng.IntN(20)) * time.Millisecond):
		}
		in := request{}
		if o.rng.IntN(2) == 0 {
			in = request{write: true, match: _anyRev, floor: o.host + 10*n}
		}
		if in.write && o.rng.IntN(2) == 0 {
			in.match = o.lastRev
		}
		call := time.Since(start)
		out, known := o.do(in, fmt.Sprint("h", o.host, "-", n))
		if !known {
			continue
		}
		if !out.conflict {
			o.lastRev = out.found.rev
		}
		o.history = append(o.history, porcupine.Operation{
			ClientId: o.host, Input: in, Call: int64(call), Output: out, Return: int64(time.Since(start)),
		})
	}
}

// do returns the result of a request, or false if the read failed or the first
// attempt to write was refused, which must have had no effect. A write whose
// outcome is unknown is retried at the next host until the outcome is known.
func (o *operator) do(in request, id string) (response, bool) {
	if !in.write {
		v, err := o.mesh.service(o.host, "lookup")
		return response{found: register{rev: v.Rev, floor: v.Service.Floor}}, err == nil
	}
	match := "*"
	if in.match != _anyRev {
		match = strconv.FormatUint(in.match, 10)
	}
	for attempt, first := 0, true; ; attempt++ {
		host := (o.host + attempt) % len(o.mesh.controls)
		status, body, err := o.mesh.writeService(host, lookupService().WithFloor(in.floor), match, id)
		var written struct{ Rev uint64 }
		switch {
		case err == nil && status == http.StatusOK && unmarshal(body, &written) == nil:
			return response{found: register{rev: written.Rev}}, true
		case err == nil && status == http.StatusPreconditionFailed:
			return response{conflict: true}, true
		case err == nil && status == http.StatusServiceUnavailable && first:
			return response{}, false
		}
		first = false
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLinearizability runs concurrent operators at four control hosts through an
// even partition, a leader whose inbound connections drop all data, a killed
// leader and a paused leader. The history of their reads and writes must be
// linearizable.
func TestLinearizability(t *testing.T) {
	const seed = 7
	m := newMesh(t, 4, 1)
	m.startAll()
	m.awaitVoters(0, 4)
	m.putService(0, lookupService().WithFloor(0), "first")
	first, err := m.service(0, "lookup")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var operators []*operator
	for host := range m.controls {
		o := &operator{mesh: m, host: host, rng: rand.New(rand.NewPCG(seed, uint64(host)))}
		operators = append(operators, o)
		wg.Go(func() { o.run(start, stop) })
	}
	m.injectFaults()
	close(stop)
	wg.Wait()
	history := []porcupine.Operation{{
		Input: request{write: true, match: _anyRev}, Call: -2, Return: -1,
		Output: response{found: register{rev: first.Rev}},
	}}
	writes := 0
	for _, o := range operators {
		history = append(history, o.history...)
		for _, op := range o.history {
			if op.Input.(request).write && !op.Output.(response).conflict {
				writes++
			}
		}
	}
	t.Logf("%d operations, %d writes took effect", len(history), writes)
	if result := porcupine.CheckOperationsTimeout(registerModel, history, _checkTimeout); result != porcupine.Ok {
		t.Errorf("linearizability check: %v", result)
	}
	if writes < 20 {
		t.Errorf("only %d writes took effect", writes)
	}
}

// injectFaults injects one failure after the other and heals each.
func (m *mesh) injectFaults() {
	const pause = 2 * time.Second
	time.Sleep(pause / 4)
	m.partition()
	time.Sleep(pause)
	m.heal()
	time.Sleep(pause)
	m.dropInbound(m.leader(0))
	time.Sleep(pause)
	m.heal()
	time.Sleep(pause)
	old := m.leader(0)
	m.kill(m.controls[old].Name)
	time.Sleep(pause)
	m.startControl(old)
	time.Sleep(pause)
	paused := m.procs[m.controls[m.leader(0)].Name].Process
	_ = paused.Signal(syscall.SIGSTOP)
	time.Sleep(pause)
	_ = paused.Signal(syscall.SIGCONT)
	time.Sleep(pause)
}

// TestEvenPartition separates four voters into two halves. Neither half may
// accept a write or serve a consistent read.
func TestEvenPartition(t *testing.T) {
	m := newMesh(t, 4, 1)
	m.startAll()
	m.awaitVoters(0, 4)
	m.putService(0, lookupService(), "first")
	m.partition()
	m.eventually("no leader", func() error {
		for host := range m.controls {
			var v view.VersionedService
			if err := m.getControl(host, "/v1/services/lookup", &v); err == nil {
				return fmt.Errorf("host %d still serves consistent reads", host)
			}
		}
		return nil
	})
	var sides sync.WaitGroup
	for host := range m.controls {
		sides.Go(func() {
			if status, body, err := m.writeService(host, lookupService().WithFloor(host), "*", fmt.Sprint("w", host)); err == nil && status != http.StatusServiceUnavailable {
				t.Errorf("host %d: status %d: %s", host, status, body)
			}
		})
	}
	sides.Wait()
	m.heal()
	m.putService(0, lookupService().WithFloor(0), "last")
}
