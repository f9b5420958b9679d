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

// TestRescue loses two of three control hosts permanently. After the rescue
// command, the third one must continue from its data folder, empty hosts must
// join it, and no write that it held may be lost.
func TestRescue(t *testing.T) {
	f := startFleet(t, 3, 2)
	rev := f.putService(0, lookupService(), "first")
	f.awaitRevision(2, rev)
	f.awaitPlacement()
	f.killControls()
	f.removeData(0, 1)
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
	f.putService(1, lookupService().WithFloor(0), "second")
	f.eventually("newest revision on all nodes", f.checkConverged)
}

// TestRescueLostGroup loses every replica of some claim groups. The rescue command
// must recreate them only with --refound, and keys must work afterwards.
func TestRescueLostGroup(t *testing.T) {
	f := startFleet(t, 4, 2)
	f.putService(0, lookupService(), "first")
	f.awaitPlacement()
	last := 3
	lost := f.groupsWithout(last)
	if len(lost) == 0 {
		t.Fatal("the last host holds every group")
	}
	f.killControls()
	f.removeData(0, 1, 2)
	if out, err := f.rescue(last, "--accept-loss"); err == nil || !strings.Contains(out, "does not hold the group") {
		t.Fatalf("%s: %v", out, err)
	}
	out, err := f.rescue(last, "--accept-loss", "--refound")
	if err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for _, group := range lost {
		if !strings.Contains(out, fmt.Sprintf("group %d goes on from entry 1 ", group)) {
			t.Errorf("output does not say that group %d was recreated: %s", group, out)
		}
	}
	for n := range f.controls {
		f.startControl(n)
	}
	f.awaitPlacement()
	a := f.startBackend("lookup-1", "lookup", 0)
	f.awaitInstances(1)
	for key := range f.renewKeys(0) {
		if n := a.RunCounts()[key]; n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestRescueOldMajority restarts the lost majority after a rescue. Its processes
// must exit with an error, and writes accepted since the rescue must remain.
func TestRescueOldMajority(t *testing.T) {
	f := startFleet(t, 3, 1)
	f.awaitRevision(2, f.putService(0, lookupService(), "first"))
	f.awaitPlacement()
	f.killControls()
	if out, err := f.rescue(2, "--accept-loss"); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	oldData := f.controls[0].Data
	f.controls[0].Data = oldData + "-blank"
	f.startControl(2)
	f.startControl(0)
	f.awaitVoters(2, 2)
	rev := f.putService(2, lookupService().WithFloor(0), "second")
	f.kill("c1")

	newData := f.controls[0].Data
	f.controls[0].Data = oldData
	f.startControl(0)
	f.startControl(1)
	for _, name := range []string{"c1", "c2"} {
		f.awaitExitError(name)
	}
	f.controls[0].Data = newData
	f.startControl(0)
	f.eventually("service", func() error {
		v, err := f.service(2, "lookup")
		if err == nil && v.Rev != rev {
			t.Fatalf("revision %d, want %d", v.Rev, rev)
		}
		return err
	})
}

// rescue runs the rescue command for all groups of a stopped control host and
// returns its output.
func (f *fleet) rescue(n int, flags ...string) (string, error) {
	file := filepath.Join(f.dir, f.controls[n].Name+".yaml")
	args := append([]string{"rescue", "--config", file}, flags...)
	for group := range f.controls[n].ClaimGroups() + 1 {
		args = append(args, "--group", fmt.Sprint(group))
	}
	out, err := exec.Command(_binary, args...).CombinedOutput()
	return string(out), err
}

// awaitExitError waits until a process exits on its own with an error.
func (f *fleet) awaitExitError(name string) {
	p := f.procs[name]
	timer := time.AfterFunc(_maxWait, func() { _ = p.Process.Kill() })
	err := p.Wait()
	if !timer.Stop() || err == nil {
		f.t.Errorf("%s did not exit with an error: %v", name, err)
	}
	delete(f.procs, name)
}

func (f *fleet) killControls() {
	for _, c := range f.controls {
		f.kill(c.Name)
	}
}

// removeData deletes the data folders of control hosts.
func (f *fleet) removeData(hosts ...int) {
	for _, n := range hosts {
		if err := os.RemoveAll(f.controls[n].Data); err != nil {
			f.t.Fatal(err)
		}
	}
}

// groupsWithout returns the claim groups that are not placed on a host.
func (f *fleet) groupsWithout(n int) []uint32 {
	var list []uint32
	for group := uint32(1); group <= f.controls[n].ClaimGroups(); group++ {
		isHost := func(h place.Host) bool { return h.Name == f.controls[n].Name }
		if !slices.ContainsFunc(place.Voters(group, f.placementHosts()), isHost) {
			list = append(list, group)
		}
	}
	return list
}
