package trials

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/place"
)

const (
	_claimGroups = 8
	_renewals    = 40
)

// TestKeysMove adds a fourth control host to three, so that groups of keys
// move there, and then loses a host for good: every renewal that was resent
// gets its first answer, and none runs twice.
func TestKeysMove(t *testing.T) {
	f := newFleet(t, 4, 2)
	all := f.controls[0].Hosts
	for n := range f.controls {
		f.controls[n].Groups = _claimGroups
		f.controls[n].Hosts = all[:3]
	}
	for n := range 3 {
		f.startControl(n)
	}
	f.startNode(0)
	f.startNode(1)
	f.awaitVoters(0, 3)
	f.put(0, lookup(), "first")
	a := f.backend("lookup-1", "lookup", 0)
	b := f.backend("lookup-2", "lookup", 1)
	f.awaitInstances(2)
	f.awaitPlacement(all[:3])
	first := f.renewEach(0)

	for n := range f.controls {
		f.controls[n].Hosts = all
		if n < 3 {
			f.stop(f.procs[f.controls[n].Name].Process)
			if err := f.procs[f.controls[n].Name].Wait(); err != nil {
				t.Errorf("host %d did not stop cleanly: %v", n, err)
			}
		}
		f.startControl(n)
		f.awaitVoters(n, min(max(n+1, 3), 4))
	}
	f.awaitPlacement(all)
	f.kill("c1")
	second := f.renewEach(1)
	for key, answer := range first {
		if !bytes.Equal(answer, second[key]) {
			t.Errorf("%s was answered %q and then %q", key, answer, second[key])
		}
		if n := a.Runs()[key] + b.Runs()[key]; n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// renewEach sends each renewal to a node until it is answered.
func (f *fleet) renewEach(node int) map[string][]byte {
	answers := map[string][]byte{}
	for n := range _renewals {
		key := fmt.Sprint("renewal-", n)
		header := http.Header{"Idempotency-Key": {key}, "Mark": {key}}
		f.eventually(key, func() error {
			status, body, err := f.call(http.MethodPost, "http://"+f.nodes[node].Caller+"/renew/"+key, header, []byte(key))
			if err != nil || status != http.StatusOK {
				return fmt.Errorf("status %d %s: %w", status, body, err)
			}
			answers[key] = body
			return nil
		})
	}
	return answers
}

// awaitPlacement waits until every group of keys is held by the hosts that the
// placement names, and by no other.
func (f *fleet) awaitPlacement(hosts []config.Host) {
	var list []place.Host
	for _, h := range hosts {
		list = append(list, place.Host{Name: h.Name, Center: h.Center})
	}
	for group := uint32(1); group <= _claimGroups; group++ {
		var want []string
		for _, h := range place.Voters(group, list) {
			want = append(want, h.Name)
		}
		slices.Sort(want)
		f.eventually(fmt.Sprint("placement of group ", group), func() error {
			return f.placed(group, want)
		})
	}
}

func (f *fleet) placed(group uint32, want []string) error {
	status, err := f.groupStatus(want[0], group)
	if err != nil {
		return err
	}
	var voters []string
	for _, p := range status.Hosts {
		if !p.Learner {
			voters = append(voters, p.Name)
		}
	}
	slices.Sort(voters)
	if !slices.Equal(voters, want) || len(status.Hosts) != len(want) || status.Leader == "" {
		return fmt.Errorf("held by %+v, leader %q, want %v", status.Hosts, status.Leader, want)
	}
	return nil
}

// groupStatus asks a control host about a group of keys.
func (f *fleet) groupStatus(host string, group uint32) (ctrl.GroupStatus, error) {
	at := slices.IndexFunc(f.controls, func(c config.Control) bool { return c.Name == host })
	status, err := f.status(at)
	if err != nil {
		return ctrl.GroupStatus{}, err
	}
	for _, g := range status.Groups {
		if g.Group == group {
			return g, nil
		}
	}
	return ctrl.GroupStatus{}, fmt.Errorf("%s does not hold group %d", host, group)
}

// TestObservers runs more control hosts than vote on the configuration: a node
// that knows only an observer hears of every change, also after two voters
// were lost.
func TestObservers(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.nodes[0].Control = []string{f.controls[7].Peer}
	f.startAll()
	f.eventually("hosts", func() error {
		status, err := f.status(7)
		if err != nil {
			return err
		}
		voters := 0
		for _, p := range status.Hosts {
			if !p.Learner {
				voters++
			}
		}
		if len(status.Hosts) != len(f.controls) || voters != 5 {
			return fmt.Errorf("%d voters in %+v", voters, status.Hosts)
		}
		return nil
	})
	f.put(7, lookup(), "first")
	f.kill("c1")
	f.kill("c2")
	rev := f.put(7, lookup().WithFloor(0), "second")
	f.eventually("in force", func() error {
		status, err := f.status(7)
		if err != nil {
			return err
		}
		if len(status.Nodes) != 1 || status.Nodes[0].Rev < rev {
			return fmt.Errorf("revision %d, nodes %+v", rev, status.Nodes)
		}
		return nil
	})
}
