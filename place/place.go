package place

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FleetGroup is the group that replicates the configuration, the members and
	// instances, and the ejection arbiters.
	FleetGroup uint32 = 0

	// MaxGroups is the maximum number of claim groups.
	MaxGroups = 256

	_fleetVoters = 5
	// With at most _maxAllVoting hosts, all of them vote in the fleet group.
	_maxAllVoting = 7
	_claimVoters  = 3
)

// Host is a control host that can hold groups.
type Host struct {
	Name   string
	Center string
}

// GroupOf returns the claim group of an idempotency key, from 1 to n.
func GroupOf(key string, n uint32) uint32 {
	return 1 + uint32(xxhash.Sum64String(key)%uint64(n))
}

// Voters returns the voting hosts of a group. All hosts vote in the fleet group, or
// five of them if there are more than seven: the first by name, in different data
// centres as far as there are enough of them. In a claim group, three hosts chosen by
// rendezvous hashing vote, spread in the same way. Beyond seven hosts the choice does
// not depend on the order of the list.
func Voters(group uint32, hosts []Host) []Host {
	if group != FleetGroup {
		return spread(rank(group, hosts), _claimVoters)
	}
	if len(hosts) <= _maxAllVoting {
		return hosts
	}
	return spread(slices.SortedFunc(slices.Values(hosts), compareNames), _fleetVoters)
}

// BootstrapHost returns the name of the only host that may bootstrap a group, whatever
// the order of the list. The host that bootstraps a group is its first leader, so the
// choice also balances leaders over the hosts.
func BootstrapHost(group uint32, hosts []Host) string {
	voters := Voters(group, hosts)
	if len(voters) == 0 {
		return ""
	}
	if group != FleetGroup {
		return voters[0].Name
	}
	return slices.MinFunc(voters, compareNames).Name
}

// rank orders the hosts for a group by rendezvous hashing.
func rank(group uint32, hosts []Host) []Host {
	return slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
		return cmp.Or(cmp.Compare(score(group, b), score(group, a)), compareNames(a, b))
	})
}

// spread returns the first n hosts, passing over those whose data centre has one
// already as long as there are others.
func spread(ranked []Host, n int) []Host {
	var chosen, rest []Host
	for _, h := range ranked {
		sameCenter := func(c Host) bool { return c.Center == h.Center }
		if slices.ContainsFunc(chosen, sameCenter) {
			rest = append(rest, h)
			continue
		}
		chosen = append(chosen, h)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(n, len(chosen))]
}

func compareNames(a, b Host) int {
	return cmp.Compare(a.Name, b.Name)
}

func score(group uint32, h Host) uint64 {
	seed := binary.BigEndian.AppendUint32(nil, group)
	return xxhash.Sum64(append(seed, h.Name...))
}
