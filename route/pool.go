package route

import (
	"cmp"
	"slices"

	"github.com/damaskpitch/damaskpitch/view"
)

// Candidate is one instance that may serve a request.
type Candidate struct {
	Key    view.Key
	Center string
	Addr   string
	Epoch  uint64
	// Excluded marks an instance that must not be chosen, such as one that is
	// leaving or ejected.
	Excluded bool
	// Unreachable marks an instance whose owner cannot be reached from this node.
	Unreachable bool
	// Slots is the number of requests that the instance runs at a time, or 0 for
	// the service's default.
	Slots int
	// Born is when the instance started, in milliseconds of its own clock, or 0. It tells
	// the instance from an earlier one with the same key.
	Born int64

	hash uint32 // identifies the instance in reports
}

// Pool lists the instances of a service, those in the local data centre first.
type Pool struct {
	Candidates []Candidate
	// LocalCount is the number of candidates in the local data centre.
	LocalCount int
	// MaxAvoided is the number of instances that this ingress may avoid on its own
	// without falling below the service's floor.
	MaxAvoided int
	// Slots is the number of requests that one instance runs at a time.
	Slots int

	farCenters []centerRange // the other data centres
}

// centerRange is where the candidates of a data centre are in a pool.
type centerRange struct {
	name       string
	first, end int
}

// NewPool returns the pool of a service as seen by a node in a data centre.
func NewPool(service view.VersionedService, center string, list []Candidate) Pool {
	// Allocate the exact size: pools are long-lived and numerous.
	p := Pool{Candidates: make([]Candidate, 0, len(list)), MaxAvoided: -service.Service.FloorOf(len(list)), Slots: service.Service.Slots}
	for _, c := range list {
		c.hash = hashOf(c.Key)
		if !c.Excluded {
			p.MaxAvoided++
		}
		if c.Center == center {
			p.Candidates = append(p.Candidates, c)
		}
	}
	p.LocalCount = len(p.Candidates)
	for _, c := range list {
		if c.Center != center {
			c.hash = hashOf(c.Key)
			p.Candidates = append(p.Candidates, c)
		}
	}
	// The order within a data centre stays.
	slices.SortStableFunc(p.Candidates[p.LocalCount:], func(a, b Candidate) int { return cmp.Compare(a.Center, b.Center) })
	for i := p.LocalCount; i < len(p.Candidates); i++ {
		if last := len(p.farCenters) - 1; last >= 0 && p.farCenters[last].name == p.Candidates[i].Center {
			p.farCenters[last].end = i + 1
			continue
		}
		p.farCenters = append(p.farCenters, centerRange{name: p.Candidates[i].Center, first: i, end: i + 1})
	}
	return p
}

// slots returns the number of requests that an instance runs at a time.
func (p Pool) slots(c Candidate) int {
	if c.Slots > 0 {
		return c.Slots
	}
	return p.Slots
}

// WithUnreachable returns the pool with exactly the owners at the given addresses
// marked unreachable.
func (p Pool) WithUnreachable(addrs map[string]bool) Pool {
	change := func(c Candidate) bool { return c.Unreachable != addrs[c.Addr] }
	if !slices.ContainsFunc(p.Candidates, change) {
		return p
	}
	p.Candidates = slices.Clone(p.Candidates)
	for i := range p.Candidates {
		p.Candidates[i].Unreachable = addrs[p.Candidates[i].Addr]
	}
	return p
}

// WithEpoch returns the pool with the epoch of one node replaced.
func (p Pool) WithEpoch(node string, epoch uint64) Pool {
	p.Candidates = slices.Clone(p.Candidates)
	for i := range p.Candidates {
		if p.Candidates[i].Key.Node == node {
			p.Candidates[i].Epoch = epoch
		}
	}
	return p
}

// WithExcluded returns the pool with one instance excluded.
func (p Pool) WithExcluded(k view.Key) Pool {
	p.Candidates = slices.Clone(p.Candidates)
	for i, c := range p.Candidates {
		if c.Key == k && !c.Excluded {
			p.Candidates[i].Excluded = true
			p.MaxAvoided--
		}
	}
	return p
}
