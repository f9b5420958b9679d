package place

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FleetGroup is the group of the configuration, the directory and the arbiters.
	FleetGroup uint32 = 0

	// MaxGroups is the greatest number of groups of idempotency keys.
	MaxGroups = 256

	_fleetVoters  = 5
	_maxAllVoting = 7
	_claimVoters  = 3
)

// Host is a control host that may hold groups.
type Host struct {
	Name   string
	Center string
}

// GroupOf returns the group, from 1 to n, that an idempotency key belongs to.
func GroupOf(key string, n uint32) uint32 {
	return 1 + uint32(xxhash.Sum64String(key)%uint64(n))
}

// Voters returns the hosts that vote in a group. The first hosts of the list
// hold the fleet's group; every other group goes to three hosts by rendezvous
// hashing, in different data centres while there are enough of them.
func Voters(group uint32, hosts []Host) []Host {
	if group != FleetGroup {
		return rendezvousVoters(group, hosts)
	}
	if len(hosts) <= _maxAllVoting {
		return hosts
	}
	return hosts[:_fleetVoters]
}

// BootstrapHost returns the name of the one host that may found a group, whatever
// the order of the list; founders lead first, so they are spread as well.
func BootstrapHost(group uint32, hosts []Host) string {
	voters := Voters(group, hosts)
	if len(voters) == 0 {
		return ""
	}
	if group != FleetGroup {
		return voters[0].Name
	}
	return slices.MinFunc(voters, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) }).Name
}

func rendezvousVoters(group uint32, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(group, b), score(group, a)), cmp.Compare(a.Name, b.Name))
	})
	var chosen, rest []Host
	for _, h := range ranked {
		known := func(c Host) bool { return c.Center == h.Center }
		if slices.ContainsFunc(chosen, known) {
			rest = append(rest, h)
			continue
		}
		chosen = append(chosen, h)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(_claimVoters, len(chosen))]
}

func score(group uint32, h Host) uint64 {
	seed := binary.BigEndian.AppendUint32(nil, group)
	return xxhash.Sum64(append(seed, h.Name...))
}
