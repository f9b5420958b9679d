package study

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
)

const (
	_meetInstances = 8
	_meetSlots     = 9
	_meetWork      = 300 * time.Millisecond // before and after the call
	_meetCall      = 200 * time.Millisecond
	_meetTimeout   = 1200 * time.Millisecond // of a call
	_meetDue       = 4 * time.Second
)

// MeetConfig configures a simulation of two services whose requests call the other one.
type MeetConfig struct {
	// Unmarked is set if owners cannot tell calls from fresh requests.
	Unmarked bool
	// Back is set if each call calls back to the service that its request runs at, as a
	// booking that asks a schedule, which checks a rate at the booking service.
	Back bool
	// Anonymous is set if requests have no customer, for which owners keep no slot for calls.
	Anonymous bool
	// Load is the demand as a share of what the slots can carry if no call waits.
	Load float64
	For  time.Duration
	Seed uint64
}

// MeetResult counts the requests of both services. Failed ones had begun when a call found no
// slot in time.
type MeetResult struct{ Sent, Served, Refused, Failed int }

// meetFleet is the state of the simulation.
type meetFleet struct {
	cfg    MeetConfig
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	seq    uint64
	gates  [2 * _meetInstances]gate.Model
	runs   map[ledger.Ref]meetAttempt
	result MeetResult
}

// meetAttempt is an attempt at an instance and what follows its start and its refusal.
type meetAttempt struct {
	instance int
	start    func(end func())
	refuse   func()
}

// RunMeet simulates two services whose requests call the other one while they hold a slot.
func RunMeet(cfg MeetConfig) MeetResult {
	f := &meetFleet{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 23)), runs: map[ledger.Ref]meetAttempt{}}
	for n := range f.gates {
		f.gates[n], _ = gate.New(gate.Config{}).Update(gate.RegisterMsg{ID: name(n), Limits: gate.Limits{Slots: _meetSlots, Queue: 256}})
		f.every(n)
	}
	perRequest := 2*_meetWork + 2*_meetCall // its slot, the call, and the call's slot
	if cfg.Back {
		perRequest += 3 * _meetCall // the call back holds all three
	}
	for service := range 2 {
		f.arrive(service, cfg.Load*_meetInstances*_meetSlots/perRequest.Seconds())
	}
	for len(f.events) > 0 && f.events[0].at < cfg.For+_meetDue {
		next, _ := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	return f.result
}

func (f *meetFleet) arrive(service int, rate float64) {
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now >= f.cfg.For {
			return
		}
		f.arrive(service, rate)
		f.result.Sent++
		f.admit(service, false, _meetDue, func(end func()) {
			f.after(f.work(_meetWork), func() { f.call(1-service, f.cfg.Back, func(ok bool) { f.finish(ok, end) }) })
		}, func() { f.result.Refused++ })
	})
}

// finish ends a request after its call.
func (f *meetFleet) finish(ok bool, end func()) {
	if !ok {
		f.result.Failed++
		end()
		return
	}
	f.after(f.work(_meetWork), func() {
		f.result.Served++
		end()
	})
}

// call makes a call to a service, which calls back if back is set, and reports whether it was
// answered.
func (f *meetFleet) call(service int, back bool, done func(ok bool)) {
	f.admit(service, true, _meetTimeout, func(end func()) {
		f.after(f.work(_meetCall), func() {
			if !back {
				end()
				done(true)
				return
			}
			f.call(1-service, false, func(ok bool) {
				end()
				done(ok)
			})
		})
	}, func() { done(false) })
}

// admit sends an attempt to the least loaded instance of a service.
func (f *meetFleet) admit(service int, nested bool, timeout time.Duration, start func(func()), refuse func()) {
	best, least := 0, math.MaxInt
	for n := range _meetInstances {
		id := service*_meetInstances + n
		if l := f.gates[id].Load(name(id), f.now); l.Running+l.Queued < least {
			best, least = id, l.Running+l.Queued
		}
	}
	f.seq++
	ref := ledger.Ref{Node: "n", Epoch: 1, Seq: f.seq}
	f.runs[ref] = meetAttempt{instance: best, start: start, refuse: refuse}
	f.update(best, gate.AdmitMsg{
		ID: name(best), Ref: ref, At: f.now, StartBy: f.now + timeout*7/10, Nested: nested && !f.cfg.Unmarked,
		TargetStart: f.now + timeout/2, Priority: 1, Customer: f.customer(nested),
	})
}

func (f *meetFleet) update(instance int, msg gate.Msg) {
	model, cmds := f.gates[instance].Update(msg)
	f.gates[instance] = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			f.runs[cmd.Ref].start(func() {
				delete(f.runs, cmd.Ref)
				f.update(instance, gate.DoneMsg{ID: name(instance), Ref: cmd.Ref, At: f.now})
			})
		case gate.RefuseCmd:
			refuse := f.runs[cmd.Ref].refuse
			delete(f.runs, cmd.Ref)
			refuse()
		}
	}
}

// every runs the clock of an instance's gate.
func (f *meetFleet) every(instance int) {
	f.after(_shareClock, func() {
		f.update(instance, gate.ClockMsg{At: f.now})
		f.every(instance)
	})
}

func (f *meetFleet) work(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(_shareSpread*f.rng.NormFloat64()-_shareSpread*_shareSpread/2))
}

func (f *meetFleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, run: run})
}

// customer returns the customer of an attempt; a call does not say for whom it is made.
func (f *meetFleet) customer(nested bool) string {
	if nested || f.cfg.Anonymous {
		return ""
	}
	return name(f.rng.IntN(5))
}
