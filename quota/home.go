package quota

import (
	"maps"
	"slices"
	"time"
)

// _maxTight is the largest number of tight customers that an answer names.
const _maxTight = 64

// Home has the buckets of all customers. It is not safe for concurrent use.
type Home struct {
	term       uint64
	grantsFrom time.Duration
	open       bool // it grants
	nodes      int
	accounts   map[string]*account
	peers      map[string]*peer
	tight      map[uint32]*account
	heritage   *heritage
	standby    bool // successors are told of standings
	due        bool // they must be told before more is granted
}

// peer is a node that reports.
type peer struct {
	epoch, seq uint64
	heardAt    time.Duration
	gone       bool // another epoch of the node has reported
}

// Usage is the use that a customer has made of its cap since the home began.
type Usage struct {
	Name    string  `json:"name"`
	Rate    float64 `json:"rate"`
	Burst   float64 `json:"burst"`
	Demand  float64 `json:"demand"` // recent requests per second, of all nodes
	Used    uint64  `json:"used"`
	Refused uint64  `json:"refused"`
	Level   float64 `json:"level"` // tokens in the bucket; negative after overdrafts
	Held    float64 `json:"held"`  // tokens that nodes have
	Nodes   int     `json:"nodes"` // that have reported requests
}

// NewHome returns a home that begins at a time and grants nothing until the grants of an
// earlier one have expired.
func NewHome(term uint64, at time.Duration) Home {
	return Home{
		term: term, grantsFrom: at + _wait, nodes: 1,
		accounts: map[string]*account{}, peers: map[string]*peer{}, tight: map[uint32]*account{},
	}
}

// SetLimits sets the limits of all customers that have one, and the number of nodes.
func (h *Home) SetLimits(at time.Duration, limits map[string]Limit, nodes int) {
	changed := nodes != h.nodes
	h.nodes = max(1, nodes)
	for name, a := range h.accounts {
		l, ok := limits[name]
		if !ok {
			delete(h.accounts, name)
			delete(h.tight, a.hash)
			continue
		}
		if changed || l != a.limit {
			a.advance(at)
			a.setLimit(l, h.nodes)
			h.mark(a, at)
		}
	}
	for name, l := range limits {
		if _, ok := h.accounts[name]; !ok {
			a := newAccount(name, l, h.nodes, max(at, h.grantsFrom))
			if h.heritage != nil && at < h.heritage.until {
				a.inherit(h.heritage)
			}
			h.accounts[name] = a
			h.mark(h.accounts[name], at)
		}
	}
}

// Report processes a report and returns the answer.
func (h *Home) Report(at time.Duration, r Report) Answer {
	return h.AppendReport(at, r, Answer{})
}

// AppendReport is like Report, and uses the memory of another answer's lists.
func (h *Home) AppendReport(at time.Duration, r Report, into Answer) Answer {
	answer := Answer{Term: h.term, WaitLeft: max(0, h.grantsFrom-at), Grants: into.Grants[:0], Tight: into.Tight[:0]}
	p, ok := h.peers[r.Node]
	if ok && at-p.heardAt < _lease && (r.Epoch < p.epoch || r.Epoch == p.epoch && r.Seq <= p.seq) {
		answer.Ignored = true
		return answer
	}
	if !ok || r.Epoch != p.epoch {
		if ok {
			p.gone = true
		}
		p = &peer{epoch: r.Epoch, heardAt: at}
		h.peers[r.Node] = p
		if h.heritage != nil {
			h.heritage.silent = max(0, 1-float64(len(h.peers))/float64(h.nodes))
		}
	}
	p.seq = r.Seq
	h.begin(at)
	expired := at-p.heardAt >= _lease
	for _, n := range r.Needs {
		a, ok := h.accounts[n.Customer]
		if !ok {
			continue
		}
		if answer.WaitLeft > 0 {
			a.level -= int64(n.Debt) * _token
			h.mark(a, at)
			continue
		}
		answer.Grants = append(answer.Grants, h.grant(a, p, r.Node, n, at, expired))
	}
	p.heardAt = at
	return h.withTight(answer, at)
}

func (h *Home) grant(a *account, p *peer, node string, n Need, at time.Duration, expired bool) Grant {
	a.advance(at)
	if known, ok := a.parts[node]; ok && expired {
		a.accrue(known, at)
		a.forget(node, known)
	}
	a.sweep(at)
	before := uint64(0)
	if known, ok := a.parts[node]; ok && known.last.Life == n.Life {
		before = known.last.Refused
	}
	part := a.report(p, node, n, at)
	if !a.grant(part, n.Refused > before, h.standby) {
		h.due = true
	}
	h.mark(a, at)
	return Grant{Customer: n.Customer, Granted: part.granted, Rate: part.rate}
}

// begin starts to grant once the grants of an earlier home have expired.
func (h *Home) begin(at time.Duration) {
	if h.open || at < h.grantsFrom {
		return
	}
	h.open = true
	for _, a := range h.accounts {
		a.advance(at)
		h.mark(a, at)
	}
}

// Expire forgets nodes that have been silent for long, and what they had.
func (h *Home) Expire(at time.Duration) {
	for name, p := range h.peers {
		if at-p.heardAt >= _idlePart {
			p.gone = true
			delete(h.peers, name)
		}
	}
	for _, a := range h.accounts {
		if at-a.sweptAt >= _idlePart {
			a.advance(at)
			a.sweep(at)
			h.mark(a, at)
		}
	}
}

// mark notes whether nodes may overdraw the account.
func (h *Home) mark(a *account, at time.Duration) {
	if a.updateTight(at < h.grantsFrom) {
		h.tight[a.hash] = a
	} else {
		delete(h.tight, a.hash)
	}
}

// withTight adds the customers that are tight, without those that have recovered.
func (h *Home) withTight(answer Answer, at time.Duration) Answer {
	for hash, a := range h.tight {
		a.advance(at)
		if !a.updateTight(at < h.grantsFrom) {
			delete(h.tight, hash)
			continue
		}
		if len(answer.Tight) >= _maxTight {
			answer.AllTight = true
			answer.Tight = answer.Tight[:0]
			return answer
		}
		answer.Tight = append(answer.Tight, hash)
	}
	return answer
}

// Usages returns the use of all customers, by name.
func (h *Home) Usages(at time.Duration) []Usage {
	list := make([]Usage, 0, len(h.accounts))
	for _, name := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[name]
		a.advance(at)
		a.sweep(at)
		u := Usage{
			Name: name, Rate: a.limit.Rate, Burst: a.limit.Burst, Used: a.used, Refused: a.refused, Nodes: len(a.parts),
			Level: float64(a.level) / _token, Held: float64(a.out) / _token,
		}
		for _, p := range a.parts {
			u.Demand += float64(p.want) / _token
		}
		list = append(list, u)
	}
	return list
}
