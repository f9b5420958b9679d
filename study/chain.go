package study

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskpitch/damaskpitch/chain"
)

const (
	_chainInstances = 16
	_chainSlots     = 9
	_chainCalled    = "called"
	_chainBooking   = "booking"
	_chainLookup    = "lookup"
	_chainRefused   = 300 * time.Millisecond // until a call is refused
	_chainWait      = 1500 * time.Millisecond
	_chainDue       = 8 * time.Second
	_chainReturns   = 4
	_chainLookups   = 60 // requests a second
	_chainTrouble   = 20 * time.Second
	_chainTroubled  = 8 * time.Second
	_chainSpan      = 45 * time.Second
	_chainRetryTime = time.Second // Retry-After of an instance without room
)

// Shedding tells how the called service fails calls during the trouble.
type Shedding string

const (
	// ShedCapacity refuses the calls beyond 0.45 of the usual rate.
	ShedCapacity Shedding = "capacity"
	// ShedAnyRate refuses 0.55 of the calls, whatever their rate.
	ShedAnyRate Shedding = "any rate"
	// ShedFailures fails 0.55 of the calls at instances, which does not count as refused.
	ShedFailures Shedding = "failures"
)

// ChainConfig configures a simulation of two services, of which one calls the other while it
// holds its slot, and of which the called one sheds 0.55 for 8 s.
type ChainConfig struct {
	// Throttled admits requests by what the called service carries.
	Throttled bool
	// Ingresses is how many ingresses decide on their own, each by the answers that it gets.
	Ingresses int
	Shedding  Shedding
	// Returns is set if callers that are refused come back.
	Returns bool
	// Rate is the number of bookings a second, Calls the calls that each makes.
	Rate  float64
	Calls int
	Seed  uint64
}

// ChainResult counts the requests that first arrived within a span.
type ChainResult struct{ Sent, Served, FailedRuns, Refused int }

// chainFleet is the state of the simulation.
type chainFleet struct {
	cfg       ChainConfig
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	seq       uint64
	instances []*chainInstance
	throttles []chain.Throttle
	tokens    float64 // calls that the called service carries now
	tokensAt  time.Duration
	results   map[string]*[3]ChainResult // by kind: in the trouble, in the 2 s after it, later
}

type chainInstance struct {
	running int
	queue   []*chainRequest
	learner chain.Learner
}

type chainRequest struct {
	kind     string
	first    time.Duration
	ingress  int
	instance int
	returns  int
	queuedAt time.Duration
}

// RunChain simulates the services and returns the results of requests that first arrived
// during the trouble, within 2 s after it, and later, by kind.
func RunChain(cfg ChainConfig) map[string]*[3]ChainResult {
	f := &chainFleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 17)), results: map[string]*[3]ChainResult{}}
	for range _chainInstances {
		f.instances = append(f.instances, &chainInstance{learner: chain.NewLearner()})
	}
	for range cfg.Ingresses {
		f.throttles = append(f.throttles, chain.NewThrottle())
	}
	f.arrive(_chainBooking, cfg.Rate)
	f.arrive(_chainLookup, _chainLookups)
	for len(f.events) > 0 {
		next, _ := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	return f.results
}

// result returns the counts that a request belongs to.
func (f *chainFleet) result(r *chainRequest) *ChainResult {
	list := f.results[r.kind]
	if list == nil {
		list = &[3]ChainResult{}
		f.results[r.kind] = list
	}
	switch end := _chainTrouble + _chainTroubled; {
	case r.first < _chainTrouble:
		return &ChainResult{}
	case r.first < end:
		return &list[0]
	case r.first < end+2*time.Second:
		return &list[1]
	}
	return &list[2]
}

func (f *chainFleet) arrive(kind string, rate float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now >= _chainSpan {
			return
		}
		f.arrive(kind, rate)
		r := &chainRequest{kind: kind, first: f.now, ingress: f.rng.IntN(f.cfg.Ingresses)}
		f.result(r).Sent++
		f.request(r)
	})
}

// request handles a request at its ingress.
func (f *chainFleet) request(r *chainRequest) {
	if f.cfg.Throttled && r.kind == _chainBooking {
		throttle, retryAfter, ok := f.throttles[r.ingress].Admits(f.rng.Float64(), f.now)
		f.throttles[r.ingress] = throttle
		if !ok {
			f.refused(r, retryAfter)
			return
		}
	}
	for n, i := range f.instances {
		if i.load() < f.instances[r.instance].load() {
			r.instance = n
		}
	}
	i := f.instances[r.instance]
	r.queuedAt = f.now
	i.queue = append(i.queue, r)
	f.relay(r.ingress, r.instance)
	f.fill(i)
	f.after(_chainWait, func() { f.expire(i) })
}

func (i *chainInstance) load() int { return i.running + len(i.queue) }

// expire refuses the requests that have waited too long.
func (f *chainFleet) expire(i *chainInstance) {
	for len(i.queue) > 0 && f.now >= i.queue[0].queuedAt+_chainWait {
		f.refused(i.queue[0], _chainRetryTime)
		i.queue = i.queue[1:]
	}
}

// refused lets the caller come back, if it does and the time suffices.
func (f *chainFleet) refused(r *chainRequest, after time.Duration) {
	if !f.cfg.Returns || r.returns == _chainReturns || f.now+after >= r.first+_chainDue/2 {
		f.result(r).Refused++
		return
	}
	r.returns++
	f.after(after, func() { f.request(r) })
}

func (f *chainFleet) fill(i *chainInstance) {
	for i.running < _chainSlots && len(i.queue) > 0 {
		r := i.queue[0]
		i.queue = i.queue[1:]
		i.running++
		i.learner = i.learner.Update(chain.RunMsg{Kind: r.kind})
		if r.kind == _chainLookup {
			f.after(f.work(210*time.Millisecond), func() { f.end(i, r, false) })
			continue
		}
		f.after(f.work(time.Second), func() { f.call(i, r, f.cfg.Calls) })
	}
}

// call makes a booking's next call.
func (f *chainFleet) call(i *chainInstance, r *chainRequest, left int) {
	i.learner = i.learner.Update(chain.CallMsg{Service: _chainCalled})
	failed, took := f.sheds(), f.work(500*time.Millisecond)
	if failed {
		took = _chainRefused
	}
	f.after(took, func() {
		i.learner = i.learner.Update(chain.CallEndMsg{Service: _chainCalled, Refused: failed && f.cfg.Shedding != ShedFailures, At: f.now})
		switch {
		case failed:
			f.end(i, r, true)
		case left > 1:
			f.call(i, r, left-1)
		default:
			f.after(f.work(1400*time.Millisecond), func() { f.end(i, r, false) })
		}
	})
}

// sheds reports whether the called service sheds a call that is made now.
func (f *chainFleet) sheds() bool {
	troubled := f.now >= _chainTrouble && f.now < _chainTrouble+_chainTroubled
	if !troubled || f.cfg.Shedding != ShedCapacity {
		return troubled && f.rng.Float64() < 0.55
	}
	perSecond := 0.45 * f.cfg.Rate * float64(f.cfg.Calls)
	f.tokens = min(perSecond/5, f.tokens+perSecond*(f.now-f.tokensAt).Seconds())
	f.tokensAt = f.now
	if f.tokens < 1 {
		return true
	}
	f.tokens--
	return false
}

// end ends a run and tells the ingress what its owner reports.
func (f *chainFleet) end(i *chainInstance, r *chainRequest, failed bool) {
	i.running--
	i.learner = i.learner.Update(chain.RunEndMsg{Kind: r.kind})
	if report, ok := i.learner.Report(r.kind, f.now); ok {
		f.throttles[r.instance%len(f.throttles)] = f.throttles[r.instance%len(f.throttles)].WithReport(name(r.instance), report, f.now)
	}
	f.relay(r.instance, r.ingress)
	switch {
	case failed:
		f.result(r).FailedRuns++
	case f.now <= r.first+_chainDue:
		f.result(r).Served++
	}
	f.fill(i)
}

// relay passes on the reports that one node knows to another, as attempts and answers do.
func (f *chainFleet) relay(from, to int) {
	from, to = from%len(f.throttles), to%len(f.throttles)
	if from == to {
		return
	}
	for _, r := range f.throttles[from].Reports(f.now) {
		f.throttles[to] = f.throttles[to].WithReport(r.Owner, r.Report, r.At)
	}
}

// work draws the time of a piece of work.
func (f *chainFleet) work(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(_shareSpread*f.rng.NormFloat64()-_shareSpread*_shareSpread/2))
}

func (f *chainFleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}
