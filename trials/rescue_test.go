package trials

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/place"
)

// TestRescue loses two of three control hosts for good: the third one goes on
// from its data folder, blank hosts join it, and nothing that it held is lost.
func TestRescue(t *testing.T) {
	f := formed(t, 3, 2)
	rev := f.put(0, lookup(), "first")
	f.awaitInForceAt(2, rev)
	f.awaitPlacement()
	f.killControls()
	f.loseData(0, 1)
	if out, err := f.rescue(2, "--accept-loss"); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for n := range f.controls {
		f.startControl(n)
	}
	f.awaitVoters(2, 3)
	v, err := f.service(0, "lookup")
	if err != nil || v.Rev != rev {
		t.Errorf("revision %d, want %d: %v", v.Rev, rev, err)
	}
	f.put(1, lookup().WithFloor(0), "second")
	f.eventually("in force", f.inForce)
}

// TestRescueLostGroup loses every replica of some groups of keys: they are
// founded anew only when the operator says so, and then keys run again.
func TestRescueLostGroup(t *testing.T) {
	f := formed(t, 4, 2)
	f.put(0, lookup(), "first")
	f.awaitPlacement()
	last := 3
	lost := f.groupsWithout(last)
	if len(lost) == 0 {
		t.Fatal("the last host holds every group")
	}
	f.killControls()
	f.loseData(0, 1, 2)
	if out, err := f.rescue(last, "--accept-loss"); err == nil || !strings.Contains(out, "does not hold the group") {
		t.Fatalf("%s: %v", out, err)
	}
	out, err := f.rescue(last, "--accept-loss", "--refound")
	if err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for _, group := range lost {
		if !strings.Contains(out, fmt.Sprintf("group %d goes on from entry 1 ", group)) {
			t.Errorf("group %d is not said to be founded anew: %s", group, out)
		}
	}
	for n := range f.controls {
		f.startControl(n)
	}
	f.awaitPlacement()
	a := f.backend("lookup-1", "lookup", 0)
	f.awaitInstances(1)
	for key := range f.renewEach(0) {
		if n := a.RunCounts()[key]; n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestRescueOldMajority starts the lost majority again after a rescue: it stops
// by itself, and what was accepted since the rescue stays.
func TestRescueOldMajority(t *testing.T) {
	f := formed(t, 3, 1)
	f.awaitInForceAt(2, f.put(0, lookup(), "first"))
	f.awaitPlacement()
	f.killControls()
	if out, err := f.rescue(2, "--accept-loss"); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	old := f.controls[0].Data
	f.controls[0].Data = old + "-blank"
	f.startControl(2)
	f.startControl(0)
	f.awaitVoters(2, 2)
	rev := f.put(2, lookup().WithFloor(0), "second")
	f.kill("c1")

	blank := f.controls[0].Data
	f.controls[0].Data = old
	f.startControl(0)
	f.startControl(1)
	for _, name := range []string{"c1", "c2"} {
		f.awaitFailed(name)
	}
	f.controls[0].Data = blank
	f.startControl(0)
	f.eventually("service", func() error {
		v, err := f.service(2, "lookup")
		if err == nil && v.Rev != rev {
			t.Fatalf("revision %d, want %d", v.Rev, rev)
		}
		return err
	})
}

// rescue runs the command for all groups of a stopped control host.
func (f *fleet) rescue(n int, flags ...string) (string, error) {
	file := filepath.Join(f.folder, f.controls[n].Name+".yaml")
	args := append([]string{"rescue", "--config", file}, flags...)
	for group := range f.controls[n].ClaimGroups() + 1 {
		args = append(args, "--group", fmt.Sprint(group))
	}
	out, err := exec.Command(_binary, args...).CombinedOutput()
	return string(out), err
}

// awaitFailed waits until a process ends by itself with an error.
func (f *fleet) awaitFailed(name string) {
	p := f.procs[name]
	late := time.AfterFunc(_patient, func() { _ = p.Process.Kill() })
	err := p.Wait()
	if !late.Stop() || err == nil {
		f.t.Errorf("%s did not end with an error: %v", name, err)
	}
	delete(f.procs, name)
}

func (f *fleet) killControls() {
	for _, c := range f.controls {
		f.kill(c.Name)
	}
}

func (f *fleet) loseData(hosts ...int) {
	for _, n := range hosts {
		if err := os.RemoveAll(f.controls[n].Data); err != nil {
			f.t.Fatal(err)
		}
	}
}

// groupsWithout returns the groups of keys that are not placed on a host.
func (f *fleet) groupsWithout(n int) []uint32 {
	var list []uint32
	for group := uint32(1); group <= f.controls[n].ClaimGroups(); group++ {
		here := func(h place.Host) bool { return h.Name == f.controls[n].Name }
		if !slices.ContainsFunc(place.Voters(group, f.placeHosts()), here) {
			list = append(list, group)
		}
	}
	return list
}
