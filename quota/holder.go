package quota

import "time"

const (
	// _reportInterval is the time between two reports, _urgentInterval that between two if
	// tokens run out.
	_reportInterval = time.Second
	_urgentInterval = 100 * time.Millisecond
	// _reportFor is how long reports go on after the last request. Until then the node
	// knows which customers are tight.
	_reportFor = 30 * time.Second
	// _knownFor is how old an answer may be for its list of tight customers to count, and
	// _answerWithin how long the next one may take meanwhile. Later than that the home may be
	// lost while a customer becomes hot.
	_knownFor     = 1200 * time.Millisecond
	_answerWithin = 250 * time.Millisecond
	// _fairExcess is by how much a node's demand may exceed the rate that the home has leased
	// to it and still count as its fair part: the demand is measured from few requests.
	_fairExcess = 1.2
	// _forgetAfter is how long the counters of an idle customer are kept.
	_forgetAfter = time.Minute
)

// Holder has the tokens of a node. It is not safe for concurrent use.
type Holder struct {
	name    string
	hash    uint64
	epoch   uint64
	nodes   int
	entries map[string]*entry
	lives   uint64

	seq       uint64
	sentAt    time.Duration // of the last report
	sent      bool
	soon      bool // a report is due before the interval has passed
	requestAt time.Duration

	leaseEnd  time.Duration
	grantedAt time.Duration // when the last answer with grants arrived
	grantTerm uint64
	granted   bool // there has been such an answer

	stateAt  time.Duration // when the report was sent that the last answer is to
	known    bool
	tight    map[uint32]struct{}
	allTight bool
}

// Decision is the outcome of Take.
type Decision struct {
	OK bool
	// RetryAfter is when the customer is likely to have room, if it has none.
	RetryAfter time.Duration
	// Tokens is what was left before the request; Age is the age of the home's last
	// answer, or negative if there has been none. Overdrawn is set for a request that was
	// accepted without a token.
	Tokens    int64
	Age       time.Duration
	Overdrawn bool
	// MayWait is set for a request that has no token although the customer's bucket is not
	// known to be low: the next answer is likely to bring one. TakeWaiting decides then.
	MayWait bool
}

// NewHolder returns a holder without tokens.
func NewHolder(node string, epoch uint64) Holder {
	return Holder{
		name: node, hash: nodeHash(node), epoch: epoch, nodes: 1,
		entries: map[string]*entry{}, tight: map[uint32]struct{}{},
	}
}

// SetNodes sets the number of nodes.
func (h *Holder) SetNodes(nodes int) {
	h.nodes = max(1, nodes)
}

// Take takes a token for a request. The customer must have a limit.
func (h *Holder) Take(at time.Duration, customer string, l Limit) Decision {
	e, ok := h.entries[customer]
	if !ok {
		h.lives++
		e = &entry{hash: hashOf(customer), life: h.lives}
		h.entries[customer] = e
	}
	if e.limit != l || e.nodes != h.nodes {
		e.limit, e.nodes, e.terms = l, h.nodes, termsOf(l, h.nodes)
	}
	h.requestAt = at
	e.request(at)
	held := e.held(h.expire(e, at))
	d := Decision{Tokens: held, Age: -1}
	if h.known {
		d.Age = at - h.stateAt
	}
	switch {
	case held > 0:
		d.OK = true
	case h.mayOverdraw(e, -held, at):
		d.OK, d.Overdrawn = true, true
	}
	e.dirty = true
	switch {
	case d.OK:
		e.taken++
	case h.knows(at) && h.isServedSoon(e, at):
		d.MayWait = true
		e.waiting++
	default:
		e.refused++
		d.RetryAfter = h.retryAfter(e)
	}
	// A report is due before the node has to refuse a request.
	h.soon = h.soon || held <= 1+int64(e.want(at)*_urgentInterval.Seconds())
	return d
}

// TakeWaiting decides on a request for which Take has said that it may wait. Unless it is
// the last time, the request goes on waiting while there is no token.
func (h *Holder) TakeWaiting(at time.Duration, customer string, last bool) Decision {
	e, ok := h.entries[customer]
	if !ok {
		return Decision{Age: -1, RetryAfter: _reportInterval}
	}
	held := e.held(h.expire(e, at))
	d := Decision{Tokens: held, Age: at - h.stateAt, OK: held > 0}
	d.MayWait = !d.OK && !last && h.isServedSoon(e, at)
	if d.MayWait {
		return d
	}
	e.waiting = max(0, e.waiting-1)
	e.dirty = true
	if d.OK {
		e.taken++
		return d
	}
	e.refused++
	d.RetryAfter = h.retryAfter(e)
	return d
}

// Undo gives back the token of a request that reached no instance.
func (h *Holder) Undo(customer string) {
	if e, ok := h.entries[customer]; ok && e.undone < e.taken {
		e.undone++
		e.dirty = true
	}
}

// expire takes away tokens whose lease has ended, and returns what the leased rate adds.
func (h *Holder) expire(e *entry, at time.Duration) int64 {
	if !h.granted {
		return 0
	}
	added := int64(0)
	if since := min(at, h.leaseEnd) - h.grantedAt - _silence; since > 0 {
		added = perSecond(e.rate, since) / _token
	}
	if at >= h.leaseEnd {
		e.void(added)
		return 0
	}
	return added
}

// mayOverdraw reports whether this node may accept a request without a token, given how
// many it has overdrawn.
func (h *Holder) mayOverdraw(e *entry, debt int64, at time.Duration) bool {
	nodes, most := e.terms.unknowing, int64(1)
	if h.knows(at) {
		if h.isTight(e) {
			return false
		}
		nodes, most = e.terms.overdrawers, e.terms.debt
	}
	if debt >= most {
		return false
	}
	if nodes >= h.nodes {
		return true
	}
	return mix(h.hash^uint64(e.hash))%uint64(h.nodes) < uint64(nodes)
}

// isServedSoon reports whether the next answer is likely to bring tokens: the bucket is not
// known to be low, or this node asks for no more than its fair part of the rate.
func (h *Holder) isServedSoon(e *entry, at time.Duration) bool {
	return !h.isTight(e) || e.rate > 0 && e.want(at) <= _fairExcess*float64(e.rate)/_token
}

// isTight reports whether the customer's bucket was low at the last answer.
func (h *Holder) isTight(e *entry) bool {
	_, tight := h.tight[e.hash]
	return tight || h.allTight
}

// knows reports whether the list of tight customers is recent.
func (h *Holder) knows(at time.Duration) bool {
	answered := h.stateAt == h.sentAt || at-h.sentAt <= _answerWithin
	return h.known && at-h.stateAt <= _knownFor && answered
}

// retryAfter returns the time in which the node is likely to get a token, spread so that
// callers do not come back at once.
func (h *Holder) retryAfter(e *entry) time.Duration {
	const least, most = 100 * time.Millisecond, 2 * time.Second
	d := most
	if rate := max(e.rate, e.terms.rate/int64(h.nodes)); rate > 0 {
		d = time.Duration(float64(_token) / float64(rate) * float64(time.Second))
	}
	d = min(max(d, least), most)
	const steps = 1024
	return d + d*time.Duration(mix(h.hash+e.refused)%steps)/steps
}
