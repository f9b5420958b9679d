package route

import (
	"slices"

	"github.com/damaskpitch/damaskpitch/view"
)

// Candidate is one instance that may serve a request.
type Candidate struct {
	Key    view.Key
	Center string
	Addr   string
	Epoch  uint64
	Out    bool
	// Broken says that its owner cannot be reached from here.
	Broken bool
	// Slots is the number of requests that the instance runs at a time, 0 for
	// its service's.
	Slots int
}

// Pool is a service's instances, those in the own data centre first.
type Pool struct {
	Candidates []Candidate
	// Near is the number of candidates in the own data centre.
	Near int
	// Spare is the number of instances that this ingress may avoid by itself.
	Spare int
	// Slots is the number of requests that one instance runs at a time.
	Slots int
}

// NewPool returns the pool of a service as a node in the data centre sees it.
func NewPool(service view.VersionedService, center string, list []Candidate) Pool {
	// Sized once: a pool lives long and there are many.
	p := Pool{Candidates: make([]Candidate, 0, len(list)), Spare: -service.Service.FloorOf(len(list)), Slots: service.Service.Slots}
	for _, c := range list {
		if !c.Out {
			p.Spare++
		}
		if c.Center == center {
			p.Candidates = append(p.Candidates, c)
		}
	}
	p.Near = len(p.Candidates)
	for _, c := range list {
		if c.Center != center {
			p.Candidates = append(p.Candidates, c)
		}
	}
	return p
}

// slots returns how many requests an instance runs at a time.
func (p Pool) slots(c Candidate) int {
	if c.Slots > 0 {
		return c.Slots
	}
	return p.Slots
}

// WithBroken returns the pool with the owners at some addresses out of reach.
func (p Pool) WithBroken(addrs map[string]bool) Pool {
	change := func(c Candidate) bool { return c.Broken != addrs[c.Addr] }
	if !slices.ContainsFunc(p.Candidates, change) {
		return p
	}
	p.Candidates = slices.Clone(p.Candidates)
	for i := range p.Candidates {
		p.Candidates[i].Broken = addrs[p.Candidates[i].Addr]
	}
	return p
}

// WithEpoch returns the pool with another start of one node.
func (p Pool) WithEpoch(node string, epoch uint64) Pool {
	p.Candidates = slices.Clone(p.Candidates)
	for i := range p.Candidates {
		if p.Candidates[i].Key.Node == node {
			p.Candidates[i].Epoch = epoch
		}
	}
	return p
}
