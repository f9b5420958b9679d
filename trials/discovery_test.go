package trials

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
)

// newFinders returns a fleet whose control hosts know three of them, as hosts
// with the same ports at addresses of their own.
func newFinders(t *testing.T, controls, losses int) *fleet {
	f := newFleet(t, 0, 0)
	api, peer := portOf(t), portOf(t)
	var join []string
	for n := range 3 {
		join = append(join, fmt.Sprintf("127.0.0.%d:%d", 11+n, api))
	}
	for n := range controls {
		name := fmt.Sprintf("c%d", n+1)
		f.controls = append(f.controls, config.Control{
			Name: name, Center: "mida", Data: filepath.Join(f.folder, name),
			API:  fmt.Sprintf("127.0.0.%d:%d", 11+n, api),
			Peer: fmt.Sprintf("127.0.0.%d:%d", 11+n, peer),
			Key:  _key, Join: join, First: true, Losses: losses,
		})
	}
	return f
}

func portOf(t *testing.T) uint16 {
	return netip.MustParseAddrPort(freeAddr(t)).Port()
}

// declare writes a plan at a control host, on top of a version.
func (f *fleet) declare(control int, p plan.Plan, match uint64) (int, []byte, error) {
	body, err := json.Marshal(p)
	if err != nil {
		f.t.Fatal(err)
	}
	header := http.Header{"If-Match": {fmt.Sprint(match)}}
	return f.call(http.MethodPut, "http://"+f.controls[control].API+"/v1/plan", header, body)
}

func (f *fleet) plan(control int) (plan.Plan, error) {
	var p plan.Plan
	return p, f.get(control, "/v1/plan", &p)
}

// identities returns the identity of each control host's folder, by name.
func (f *fleet) identities(control int) map[string]uint64 {
	ids := map[string]uint64{}
	f.eventually("identities", func() error {
		status, err := f.status(control)
		for _, h := range status.Hosts {
			ids[h.Name] = h.ID
		}
		return err
	})
	return ids
}

// voters wants a number of hosts to vote, as one of them sees it, and none with
// an identity of before.
func (f *fleet) voters(control, want int, gone ...uint64) error {
	status, err := f.status(control)
	if err != nil {
		return err
	}
	voters := 0
	for _, h := range status.Hosts {
		if slices.Contains(gone, h.ID) {
			return errors.Newf("%s is still known by the folder that it lost", h.Name)
		}
		if !h.Learner {
			voters++
		}
	}
	if voters != want || len(status.Hosts) != want {
		return errors.Newf("%d of %d hosts vote, want %d", voters, len(status.Hosts), want)
	}
	return nil
}

func versionOf(n uint64) plan.Plan {
	return plan.Plan{
		Version:  n,
		Services: []plan.Service{{Name: "lookup", Health: "/healthz", Conns: 300, Protocol: "h1"}},
		Routes: []plan.Route{{
			Name: "r", Host: "h.example", Path: "/a/", Kind: plan.Idempotent,
			Timeout: spec.Duration(_patient), Service: "lookup",
		}},
	}
}

// TestFindEachOther founds one group of five hosts that are told of three; two
// lose their disks right after a confirmation and come back blank, then the
// next two: nothing confirmed is lost, and nobody repairs anything.
func TestFindEachOther(t *testing.T) {
	f := newFinders(t, 5, 2)
	f.startAll()
	f.eventually("first plan", func() error { return f.accepted(f.declare(4, versionOf(2), 0)) })
	for round, lost := range [][]int{{0, 1}, {2, 3}, {0, 4}} {
		version := uint64(3 + round)
		keeper := 4
		if lost[1] == 4 {
			keeper = 1
		}
		f.eventually("plan", func() error { return f.accepted(f.declare(keeper, versionOf(version), version-1)) })
		ids := f.identities(keeper)
		var gone []uint64
		for _, n := range lost {
			f.kill(f.controls[n].Name)
			gone = append(gone, ids[f.controls[n].Name])
			if err := os.RemoveAll(f.controls[n].Data); err != nil {
				t.Fatal(err)
			}
		}
		for _, n := range lost {
			f.controls[n].First = false
			f.startControl(n)
		}
		f.eventually("repair", func() error { return f.voters(keeper, 5, gone...) })
		for _, n := range []int{keeper, lost[0]} {
			f.eventually("read", func() error {
				p, err := f.plan(n)
				if err == nil && p.Version != version {
					t.Fatalf("host %d has version %d, %d was confirmed", n, p.Version, version)
				}
				return err
			})
		}
	}
}

// TestSuccessorElsewhere loses a host for good; a blank one with another name
// and address takes its place.
func TestSuccessorElsewhere(t *testing.T) {
	f := newFinders(t, 6, 2)
	for n := range 5 {
		f.startControl(n)
	}
	f.eventually("first plan", func() error { return f.accepted(f.declare(1, versionOf(2), 0)) })
	f.kill(f.controls[2].Name)
	f.controls[5].First = false
	f.startControl(5)
	f.eventually("succession", func() error {
		if err := f.voters(5, 5); err != nil {
			return err
		}
		p, err := f.plan(5)
		if err == nil && p.Version != 2 {
			t.Fatalf("the successor has version %d", p.Version)
		}
		return err
	})
}

func (f *fleet) accepted(status int, body []byte, err error) error {
	if err == nil && status != http.StatusOK {
		return errors.Newf("status %d: %s", status, bytes.TrimSpace(body))
	}
	return err
}
