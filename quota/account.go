package quota

import "time"

const (
	// _sweepInterval is the shortest time between two looks at all nodes of a customer.
	_sweepInterval = 200 * time.Millisecond
	// _idlePart is how long a node without tokens or demand is remembered.
	_idlePart = 10 * time.Second
	// A node gets what it needs for _ampleAhead, or for _scarceAhead while the bucket is
	// below _scarceShare of its capacity.
	_ampleAhead  = 500 * time.Millisecond
	_scarceAhead = 200 * time.Millisecond
	_scarceShare = 0.1
	// _maxSpare is how many tokens a node gets beyond its needs while there is room.
	_maxSpare = 2
	// _maxCredit is for how long a node's fair rate is saved up.
	_maxCredit = time.Second
)

// account is the bucket of a customer. Amounts are in units.
type account struct {
	name    string
	hash    uint32
	limit   Limit
	terms   terms
	level   int64 // may be negative, by overdrafts
	out     int64 // tokens that nodes have, as far as is known
	leased  int64 // sum of the leased rates
	fair    int64
	at      time.Duration
	sweptAt time.Duration
	parts   map[string]*part
	used    uint64
	refused uint64
	tight   bool  // nodes may not overdraw
	unsaid  int64 // granted since the last standings

	heritage  *heritage // nil once the predecessor's leases have ended
	inherited int64     // leased by the predecessor
}

// part is a node's part in an account. Counts are in tokens, amounts in units.
type part struct {
	peer    *peer
	last    Need
	granted int64 // tokens
	out     int64
	want    int64 // units a second
	rate    int64 // leased
	credit  int64
	at      time.Duration
	// The tokens granted by the leased rate since the node was last heard.
	accrued int64
	since   time.Duration
}

func newAccount(name string, l Limit, nodes int, at time.Duration) *account {
	t := termsOf(l, nodes)
	return &account{name: name, hash: hashOf(name), limit: l, terms: t, fair: t.rate, at: at, parts: map[string]*part{}}
}

// advance refills the bucket. Tokens that nodes have count towards its capacity, so that
// they cannot be used in addition to a full bucket.
func (a *account) advance(at time.Duration) {
	if at <= a.at {
		return
	}
	a.chargeSilent(at)
	room := a.terms.capacity - a.out
	level := a.level + perSecond(a.terms.rate, at-a.at)
	if level > room {
		level = max(room, min(a.level, 0))
	}
	a.level = level
	a.at = at
}

// updateTight decides whether nodes may overdraw. A bucket that has been low must fill up
// a while: at each turn, nodes overdraw before they hear that it is low again.
func (a *account) updateTight(waiting bool) bool {
	if waiting {
		a.tight = a.level <= -int64(_waitShare*float64(a.terms.reserve))
		return a.tight
	}
	low, lowLevel := a.terms.low, a.terms.lowLevel
	if a.tight {
		low, lowLevel = low+a.terms.recovery, lowLevel+a.terms.recovery
	}
	a.tight = a.level < lowLevel && a.level+a.out < low
	return a.tight
}

// sweep charges nodes that are silent, writes off those whose tokens have expired, and
// divides the rate anew.
func (a *account) sweep(at time.Duration) {
	if at-a.sweptAt < _sweepInterval {
		return
	}
	a.sweptAt = at
	for node, p := range a.parts {
		a.accrue(p, at)
		idle := p.want == 0 && p.out == 0 && at-p.at >= _idlePart
		if idle || p.peer.gone || at-p.peer.heardAt >= _lease {
			a.forget(node, p)
		}
	}
	a.fair = fairRate(a.parts, a.terms.rate)
}

// forget removes a part. The tokens of the node count as used.
func (a *account) forget(node string, p *part) {
	a.out -= max(0, p.out)
	a.leased -= p.rate
	delete(a.parts, node)
}

// accrue grants a silent node what it takes by its leased rate.
func (a *account) accrue(p *part, at time.Duration) {
	if p.since != p.peer.heardAt {
		p.since, p.accrued = p.peer.heardAt, 0
	}
	until := min(at, p.since+_lease) - p.since - _silence
	if until <= 0 || p.rate == 0 {
		return
	}
	due := perSecond(p.rate, until) / _token
	if extra := due - p.accrued; extra > 0 {
		p.accrued = due
		a.give(p, extra)
	}
}

// give moves tokens from the bucket to a node.
func (a *account) give(p *part, tokens int64) {
	a.level -= tokens * _token
	p.granted += tokens
	a.setOut(p, p.out+tokens*_token)
}

// setOut sets what a node has. Below zero it is an overdraft that is not charged yet.
func (a *account) setOut(p *part, out int64) {
	a.out += max(0, out) - max(0, p.out)
	p.out = out
}

// report processes a node's need and returns its part.
func (a *account) report(peer *peer, node string, n Need, at time.Duration) *part {
	p, ok := a.parts[node]
	if ok && (p.peer != peer || n.Life > p.last.Life) {
		a.forget(node, p)
		ok = false
	}
	if !ok {
		// What the node used before is not known to be of this home's time.
		p = &part{peer: peer, granted: n.net() - int64(n.Debt), last: n, at: at, since: at, credit: _token}
		a.parts[node] = p
		a.used += n.Debt
	} else {
		a.accrue(p, at)
		a.used += max(n.Taken, p.last.Taken) - p.last.Taken
		a.used -= min(a.used, max(n.Undone, p.last.Undone)-p.last.Undone)
		a.refused += max(n.Refused, p.last.Refused) - p.last.Refused
	}
	returned := max(0, int64(n.Returned)-int64(p.last.Returned))
	a.level += returned * _token
	a.setOut(p, (p.granted-n.net())*_token)
	if p.out < 0 {
		a.give(p, -p.out/_token)
	}
	a.credit(p, at)
	p.last, p.at, p.want = n, at, int64(n.Want)*(_token/1000)
	return p
}

// credit saves up the node's fair rate.
func (a *account) credit(p *part, at time.Duration) {
	rate := min(p.want, a.fair)
	p.credit = min(p.credit+perSecond(rate, at-p.at), max(_token, perSecond(rate, _maxCredit)))
}

// grant gives a node tokens and a leased rate according to its need.
// It returns false if the last standings do not allow for more.
func (a *account) grant(p *part, refused, standby bool) bool {
	a.leased -= p.rate
	p.rate = max(0, min(p.want, a.fair, a.terms.rate-a.leased))
	a.leased += p.rate
	scarce := float64(a.level) < _scarceShare*float64(a.terms.capacity)
	target := perSecond(p.want, _ampleAhead)
	if scarce {
		target = perSecond(min(p.want, a.fair), _scarceAhead)
	}
	tokens := (target + _token/2) / _token
	if p.want > 0 && !scarce {
		// Requests of a customer with room do not fail because two come at once.
		tokens += min(_maxSpare, a.level/_token/int64(2*len(a.parts)))
	}
	if refused {
		tokens = max(1, tokens)
	}
	tokens = max(tokens, int64(p.last.Waiting))
	tokens = min(tokens-max(0, p.out)/_token, a.level/_token)
	if scarce {
		tokens = min(tokens, p.credit/_token)
	}
	allowed := tokens
	if standby {
		allowed = min(tokens, max(0, a.headroom()-a.unsaid)/_token)
	}
	if allowed > 0 {
		p.credit = max(0, p.credit-allowed*_token)
		a.give(p, allowed)
		a.unsaid += allowed * _token
	}
	return allowed >= tokens
}

// setLimit changes the terms at once; what nodes have stays valid.
func (a *account) setLimit(l Limit, nodes int) {
	a.limit, a.terms = l, termsOf(l, nodes)
	if room := a.terms.capacity - a.out; a.level > room {
		a.level = max(room, min(a.level, 0))
	}
	a.fair = fairRate(a.parts, a.terms.rate)
}
