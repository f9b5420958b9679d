package place

import (
	"fmt"
	"slices"
	"testing"
)

const _groups = 64

func hosts(n int) []Host {
	var list []Host
	for i := range n {
		list = append(list, Host{Name: fmt.Sprint("c", i), Center: fmt.Sprint("d", i%11)})
	}
	return list
}

// TestVoters checks how many hosts, in how many data centres, vote in a group.
func TestVoters(t *testing.T) {
	cases := []struct {
		hosts, fleet, claims, centers int
	}{
		{1, 1, 1, 1},
		{2, 2, 2, 2},
		{3, 3, 3, 3},
		{7, 7, 3, 3},
		{8, 5, 3, 3},
		{30, 5, 3, 3},
	}
	for _, c := range cases {
		if got := len(Voters(FleetGroup, hosts(c.hosts))); got != c.fleet {
			t.Errorf("%d hosts: %d vote in the fleet group, want %d", c.hosts, got, c.fleet)
		}
		for group := uint32(1); group <= _groups; group++ {
			voters := Voters(group, hosts(c.hosts))
			centers := map[string]bool{}
			for _, h := range voters {
				centers[h.Center] = true
			}
			if len(voters) != c.claims || len(centers) != c.centers {
				t.Errorf("%d hosts, group %d: %v", c.hosts, group, voters)
			}
		}
	}
}

// TestVoterBalance checks that none of 30 hosts holds more than twice the mean number
// of groups.
func TestVoterBalance(t *testing.T) {
	held := map[string]int{}
	for group := uint32(1); group <= _groups; group++ {
		for _, h := range Voters(group, hosts(30)) {
			held[h.Name]++
		}
	}
	mean := float64(_groups*_claimVoters) / 30
	for name, n := range held {
		if float64(n) > 2*mean {
			t.Errorf("%s holds %d groups, the mean is %.1f", name, n, mean)
		}
	}
}

// TestAddHost checks that adding a host moves groups only to that host, and replaces
// at most one voter of each group.
func TestAddHost(t *testing.T) {
	moved := 0
	for group := uint32(1); group <= _groups; group++ {
		before, after := Voters(group, hosts(12)), Voters(group, hosts(13))
		gone := 0
		for _, h := range before {
			if !slices.Contains(after, h) {
				gone++
			}
		}
		moved += gone
		if gone > 1 {
			t.Errorf("voters of group %d change from %v to %v", group, before, after)
		}
	}
	if moved == 0 || moved > _groups {
		t.Errorf("%d of %d groups moved", moved, _groups)
	}
}

// TestGroupOf checks that keys are spread evenly: each group is within a tenth of
// the mean.
func TestGroupOf(t *testing.T) {
	const keys = 256000
	held := map[uint32]int{}
	for n := range keys {
		held[GroupOf(fmt.Sprint("renewal-", n), _groups)]++
	}
	for group := uint32(1); group <= _groups; group++ {
		if got := held[group]; got < keys/_groups*9/10 || got > keys/_groups*11/10 {
			t.Errorf("group %d holds %d of %d keys", group, got, keys)
		}
	}
	if len(held) != _groups {
		t.Errorf("%d groups hold keys", len(held))
	}
}

// TestBootstrapHost checks that the bootstrap host of a group does not depend on the
// order of the hosts, and that none of 30 hosts bootstraps more than a sixth of 64 claim
// groups.
func TestBootstrapHost(t *testing.T) {
	list := hosts(30)
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	bootstrapped := map[string]int{}
	for group := uint32(1); group <= _groups; group++ {
		name := BootstrapHost(group, list)
		if other := BootstrapHost(group, reversed); other != name {
			t.Errorf("group %d has bootstrap hosts %s and %s", group, name, other)
		}
		bootstrapped[name]++
	}
	if name, other := BootstrapHost(FleetGroup, list[:5]), BootstrapHost(FleetGroup, reversed[25:]); name != other || name != "c0" {
		t.Errorf("the fleet group has bootstrap hosts %s and %s, want c0", name, other)
	}
	for n := 1; n <= len(list); n++ {
		if name, other := BootstrapHost(FleetGroup, list[:n]), BootstrapHost(FleetGroup, reversed[len(list)-n:]); name != other {
			t.Errorf("the fleet group of %d hosts has bootstrap hosts %s and %s", n, name, other)
		}
	}
	for name, n := range bootstrapped {
		if n > _groups/6 {
			t.Errorf("%s bootstraps %d of %d groups", name, n, _groups)
		}
	}
}
