package study

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_serviceTime       = 20 * time.Millisecond
	_timeout           = 10 * time.Second
	_hintInterval      = 100 * time.Millisecond
	_stallFactor       = 8
	_quickStallTimeout = 500 * time.Millisecond
	_sureStallTimeout  = 2 * time.Second
	_failureTime       = time.Millisecond
)

// instance is the state of a simulated instance and its failure detector.
type instance struct {
	cfg           Config
	id            string
	fault         Fault
	faulty        bool
	rng           *rand.Rand
	ingress       *ingressState
	detector      detect.Model
	startedAt     time.Duration
	nextRequest   time.Duration   // arrival of the next request
	slotFree      []time.Duration // when each slot becomes free
	running       []request
	nextHint      time.Duration
	firstAffected time.Duration // start of the first failed or slow request, -1 before
}

// request is a request that the instance runs.
type request struct {
	start   time.Duration
	end     time.Duration
	failed  bool
	stallAt time.Duration // when the request counts as stalled next
}

func newInstance(cfg Config, n int, rng *rand.Rand, ingress *ingressState) *instance {
	i := &instance{
		cfg: cfg, id: name(n), rng: rng, ingress: ingress, firstAffected: -1,
		slotFree: make([]time.Duration, cfg.Slots),
	}
	if n < max(cfg.Faulty, 1) && cfg.Onset > 0 {
		i.fault, i.faulty = cfg.Fault, true
	}
	ingress.add(i.id)
	i.restart(0)
	return i
}

// restart resets the detector, as the announcement of a new process does.
func (i *instance) restart(at time.Duration) {
	i.startedAt = at
	i.detector = detect.New(detect.Config{
		Patience: i.cfg.Patience, Threshold: i.cfg.Threshold, WarmAt: at + i.cfg.Noise.ColdFor, Warmup: i.cfg.Noise.ColdFor,
	})
}

// advance runs the events up to a time and returns the detector's commands.
func (i *instance) advance(now time.Duration) []detect.Cmd {
	if every := i.cfg.Noise.ColdEvery; every > 0 && now >= i.startedAt+every {
		i.restart(now)
	}
	for i.nextRequest <= now {
		if !i.detector.Ejected() {
			i.arrive(i.nextRequest)
		}
		i.nextRequest += time.Duration(i.rng.ExpFloat64() / i.cfg.Rate * float64(time.Second))
	}
	var cmds []detect.Cmd
	send := func(msg detect.Msg) {
		model, more := i.detector.Update(msg)
		i.detector = model
		cmds = append(cmds, more...)
	}
	i.hint(now, send)
	i.finish(now, send)
	i.stall(now, send)
	send(detect.ClockMsg{At: now})
	return cmds
}

// hint periodically passes the detector what the ingress observed in the data
// centre.
func (i *instance) hint(now time.Duration, send func(detect.Msg)) {
	if now < i.nextHint {
		return
	}
	i.nextHint = now + _hintInterval
	send(i.ingress.hint(now))
}

// arrive starts a request on the first free slot, unless it would time out
// before a slot is free.
func (i *instance) arrive(at time.Duration) {
	slot := 0
	for n := range i.slotFree {
		if i.slotFree[n] < i.slotFree[slot] {
			slot = n
		}
	}
	start := max(at, i.slotFree[slot])
	if start > at+_timeout {
		return
	}
	q := i.request(start)
	i.slotFree[slot] = q.end
	i.running = append(i.running, q)
}

// request draws the duration and result of a request that starts at a time.
func (i *instance) request(start time.Duration) request {
	noise := i.cfg.Noise
	slow := noise.spikeSlowdown(start) * noise.coldSlowdown(start-i.startedAt)
	took := float64(_serviceTime) * slow * math.Exp(noise.Spread*i.rng.NormFloat64())
	failing := noise.ErrorRate
	if i.faulty && start >= i.cfg.Onset {
		fault := i.fault.at(start - i.cfg.Onset)
		failing = max(failing, fault.ErrorRate)
		took *= max(1, fault.Slowdown)
		if fault.Hang {
			return i.hung(request{start: start, end: start + _timeout, failed: true})
		}
		if i.firstAffected < 0 && (fault.ErrorRate > 0 || fault.Slowdown > 1) {
			i.firstAffected = start
		}
	}
	q := request{start: start, failed: i.rng.Float64() < failing}
	if q.failed {
		took = float64(_failureTime)
	}
	q.end = start + time.Duration(took)
	q.stallAt = start + i.stallTimeout()
	return q
}

// hung returns q with the time when it counts as stalled, and records the start of
// the first affected request.
func (i *instance) hung(q request) request {
	if i.firstAffected < 0 {
		i.firstAffected = q.start
	}
	q.stallAt = q.start + i.stallTimeout()
	return q
}

// finish reports the requests that have ended.
func (i *instance) finish(now time.Duration, send func(detect.Msg)) {
	kept := i.running[:0]
	for _, q := range i.running {
		if q.end > now {
			kept = append(kept, q)
			continue
		}
		msg := detect.ResultMsg{At: now, Latency: q.end - q.start, Failed: q.failed}
		i.ingress.observe(i.id, msg)
		send(msg)
	}
	i.running = kept
}

// stall reports the running requests that exceed the stall timeout.
func (i *instance) stall(now time.Duration, send func(detect.Msg)) {
	for n := range i.running {
		if q := &i.running[n]; now >= q.stallAt {
			q.stallAt = now + i.stallTimeout()
			send(detect.StallMsg{At: now})
		}
	}
}

func (i *instance) stallTimeout() time.Duration {
	minimum := _sureStallTimeout
	if i.cfg.Patience == spec.Quick {
		minimum = _quickStallTimeout
	}
	return max(minimum, _stallFactor*i.detector.Median())
}
