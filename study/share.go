package study

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_shareOwners    = 46
	_shareSlots     = 8
	_shareQueue     = 256
	_shareCustomers = 74
	_shareExponent  = 1.2
	_shareNodes     = 76 // ingresses
	_shareTimeout   = 4 * time.Second
	_shareTarget    = 1500 * time.Millisecond
	_shareDelay     = 500 * time.Microsecond // one way between two nodes
	_shareSpread    = 0.5                    // standard deviation of the logarithm of the work
	_shareClock     = 50 * time.Millisecond
)

// shareKind is a kind of request in the model of fair shares.
type shareKind struct {
	rate     float64 // requests per second of all customers
	work     time.Duration
	priority int
}

// shareKinds are the reads and transfers of the first reference fleet.
var shareKinds = []shareKind{
	{rate: 89, work: 420 * time.Millisecond, priority: 0},
	{rate: 182, work: 550 * time.Millisecond, priority: 1},
}

// Sharing tells by what owners share their slots.
type Sharing string

const (
	// ByTarget is one queue by target start, as for attempts with a target and without
	// a customer.
	ByTarget Sharing = "target"
	// ByCaller is a round robin between calling nodes, as for attempts without a target
	// and a customer.
	ByCaller Sharing = "caller"
	// ByCustomer is the fair order of customers.
	ByCustomer Sharing = "customer"
)

// ShareConfig configures a simulation of a service whose customers share its owners.
type ShareConfig struct {
	Sharing Sharing
	// Hot multiplies the load of the largest customer.
	Hot float64
	// Lost is how many instances are lost for the whole time.
	Lost int
	For  time.Duration
	Seed uint64
}

// CustomerResult counts the requests of one customer.
type CustomerResult struct{ Sent, Served, InTime int }

// fleet is the state of a simulation of fair shares.
type fleet struct {
	cfg      ShareConfig
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	seq      uint64
	owners   []gate.Model
	ids      map[ledger.Ref]*shareAttempt
	pool     route.Pool
	trackers []*route.LoadTracker
	results  []CustomerResult
}

// shareRequest is one request of a customer.
type shareRequest struct {
	kind     shareKind
	customer int
	node     int
	at       time.Duration
	search   probe.Model
}

// shareAttempt is one attempt of a request at an owner.
type shareAttempt struct {
	*shareRequest
	owner   int
	try     probe.TryCmd
	started time.Duration
}

// RunShare simulates the service and returns the results by customer, the largest first.
func RunShare(cfg ShareConfig) []CustomerResult {
	f := &fleet{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 11)), ids: map[ledger.Ref]*shareAttempt{},
		results: make([]CustomerResult, _shareCustomers), pool: route.Pool{Slots: _shareSlots},
	}
	for n := range _shareOwners - cfg.Lost {
		owner, _ := gate.New(gate.Config{}).Update(gate.RegisterMsg{ID: name(n), Limits: gate.Limits{Slots: _shareSlots, Queue: _shareQueue}})
		f.owners = append(f.owners, owner)
		f.pool.Candidates = append(f.pool.Candidates, route.Candidate{Key: view.Key{ID: name(n)}})
		f.every(n)
	}
	f.pool = route.NewPool(view.VersionedService{Service: spec.Service{Slots: _shareSlots}}, "", f.pool.Candidates)
	for range _shareNodes {
		f.trackers = append(f.trackers, route.NewLoadTracker())
	}
	f.arrivals()
	for len(f.events) > 0 && f.events[0].at < cfg.For+_shareTimeout {
		next, _ := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	return f.results
}

// arrivals starts the requests of each customer and kind.
func (f *fleet) arrivals() {
	total := 0.0
	for n := range _shareCustomers {
		total += math.Pow(float64(n+1), -_shareExponent)
	}
	for n := range _shareCustomers {
		for _, k := range shareKinds {
			rate := k.rate * math.Pow(float64(n+1), -_shareExponent) / total
			if n == 0 {
				rate *= f.cfg.Hot
			}
			f.arrive(n, k, rate)
		}
	}
}

// arrive schedules the next request of a customer and kind.
func (f *fleet) arrive(customer int, k shareKind, rate float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now >= f.cfg.For {
			return
		}
		f.arrive(customer, k, rate)
		f.results[customer].Sent++
		r := &shareRequest{kind: k, customer: customer, node: f.rng.IntN(_shareNodes), at: f.now}
		r.search = probe.New(probe.Config{Start: f.now, Deadline: f.now + _shareTimeout})
		f.try(r)
	})
}

// try makes the next attempt of a request, unless its search ends.
func (f *fleet) try(r *shareRequest) {
	tracker := f.trackers[r.node]
	request := route.Request{At: f.now, Random: f.rng.Uint64()}
	model, cmd := r.search.Update(probe.NextMsg{At: f.now})
	for {
		r.search = model
		if pause, ok := cmd.(probe.PauseCmd); ok {
			f.after(pause.Delay, func() { f.try(r) })
			return
		}
		try, ok := cmd.(probe.TryCmd)
		if !ok {
			return
		}
		request.Tried = try.Exclude
		if choice, ok := chooseInMode(f.pool, tracker, request, try.Mode); ok {
			owner := slices.IndexFunc(f.pool.Candidates, func(c route.Candidate) bool { return c.Key == choice.Candidate.Key })
			tracker.Update(choice.Candidate.Key, func(l *route.Load) { l.InFlight++ })
			a := &shareAttempt{shareRequest: r, owner: owner, try: try}
			reports := tracker.Reports(f.pool, f.now, choice.Candidate.Key)
			f.after(_shareDelay, func() {
				f.trackers[owner].Merge(f.pool, reports, f.now)
				f.admit(a)
			})
			return
		}
		model, cmd = r.search.Update(probe.NoCandidateMsg{At: f.now})
	}
}

func chooseInMode(p route.Pool, t *route.LoadTracker, r route.Request, mode probe.AdmissionMode) (route.Choice, bool) {
	switch mode {
	case probe.AdmitIfFree:
		return route.ChooseFree(p, t, r)
	case probe.AdmitQueued:
		return route.ChooseShortestWait(p, t, r)
	default:
		return route.ChooseAvoided(p, t, r)
	}
}

// admit hands an attempt to its owner's gate.
func (f *fleet) admit(a *shareAttempt) {
	f.seq++
	ref := ledger.Ref{Node: name(a.node), Epoch: 1, Seq: f.seq}
	f.ids[ref] = a
	left := a.at + _shareTimeout - f.now
	msg := gate.AdmitMsg{
		ID: name(a.owner), Ref: ref, At: f.now,
		StartBy:     f.now + min(left*7/10, max(a.try.MaxWait, time.Millisecond)),
		LatestStart: f.now + min(left*7/10, max(a.try.WaitLeft, time.Millisecond)),
		NoQueue:     a.try.Mode == probe.AdmitIfFree,
		Priority:    a.kind.priority,
		TargetStart: a.at + _shareTarget - a.kind.work,
	}
	switch f.cfg.Sharing {
	case ByCaller:
		msg.Caller, msg.TargetStart = name(a.node), 0
	case ByCustomer:
		msg.Customer = name(a.customer)
	case ByTarget:
	}
	f.update(a.owner, msg)
}

// update passes a message to an owner's gate and carries out its decisions.
func (f *fleet) update(owner int, msg gate.Msg) {
	model, cmds := f.owners[owner].Update(msg)
	f.owners[owner] = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			a := f.ids[cmd.Ref]
			a.started = f.now
			work := float64(a.kind.work) * math.Exp(_shareSpread*f.rng.NormFloat64()-_shareSpread*_shareSpread/2)
			f.after(time.Duration(work), func() {
				delete(f.ids, cmd.Ref)
				f.update(owner, gate.DoneMsg{ID: name(owner), Ref: cmd.Ref, At: f.now})
				f.reply(a, "")
			})
		case gate.RefuseCmd:
			a := f.ids[cmd.Ref]
			delete(f.ids, cmd.Ref)
			f.reply(a, cmd.Reason)
		}
	}
}

// reply reports an attempt to its ingress with the load of the instance.
func (f *fleet) reply(a *shareAttempt, refusal gate.Reason) {
	load := f.owners[a.owner].Load(name(a.owner), f.now)
	key := f.pool.Candidates[a.owner].Key
	reports := f.trackers[a.owner].Reports(f.pool, f.now, key)
	f.after(_shareDelay, func() {
		f.trackers[a.node].Merge(f.pool, reports, f.now)
		f.trackers[a.node].Update(key, func(l *route.Load) {
			l.InFlight--
			l.Active, l.ReportedAt = load.Running+load.Ahead, f.now
			if refusal == "" {
				*l = l.WithLatency(f.now, f.now-a.started)
			}
		})
		if refusal == "" {
			f.results[a.customer].Served++
			if f.now-a.at <= _shareTarget {
				f.results[a.customer].InTime++
			}
			return
		}
		msg := probe.RefusedMsg{At: f.now, Key: key, Mode: a.try.Mode, Reason: probe.Full}
		if refusal == gate.Expired {
			msg.Reason = probe.WaitExpired
		}
		a.search, _ = a.search.Update(msg)
		f.try(a.shareRequest)
	})
}

// every runs the clock of an owner.
func (f *fleet) every(owner int) {
	f.after(_shareClock, func() {
		f.update(owner, gate.ClockMsg{At: f.now})
		f.every(owner)
	})
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}

// event is something that happens at a time; of two at the same time, the one that was
// scheduled first goes first.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
