package study

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_took         = 20 * time.Millisecond
	_timeout      = 10 * time.Second
	_hintEvery    = 100 * time.Millisecond
	_stallFactor  = 8
	_quickStall   = 500 * time.Millisecond
	_sureStall    = 2 * time.Second
	_refusedAfter = time.Millisecond
)

// instance is one instance with its detector.
type instance struct {
	cfg      Config
	id       string
	ill      Ill
	sick     bool
	rng      *rand.Rand
	ingress  *near
	judge    judge.Model
	born     time.Duration
	next     time.Duration   // when the next request comes
	free     []time.Duration // when each slot is free
	open     []request
	nextHint time.Duration
	firstBad time.Duration
}

// request is one request that the instance runs.
type request struct {
	start  time.Duration
	end    time.Duration
	failed bool
	stalls time.Duration
}

func newInstance(cfg Config, n int, rng *rand.Rand, ingress *near) *instance {
	i := &instance{
		cfg: cfg, id: name(n), rng: rng, ingress: ingress, firstBad: -1,
		free: make([]time.Duration, cfg.Slots),
	}
	if n < max(cfg.Sick, 1) && cfg.Onset > 0 {
		i.ill, i.sick = cfg.Ill, true
	}
	ingress.add(i.id)
	i.restart(0)
	return i
}

// restart is what an announcement of a new process does.
func (i *instance) restart(at time.Duration) {
	i.born = at
	i.judge = judge.New(judge.Config{
		Patience: i.cfg.Patience, Threshold: i.cfg.Evidence, WarmAt: at + i.cfg.Noise.ColdFor, Warmup: i.cfg.Noise.ColdFor,
	})
}

// advance does what is due before a time.
func (i *instance) advance(now time.Duration) []judge.Cmd {
	if every := i.cfg.Noise.ColdEvery; every > 0 && now >= i.born+every {
		i.restart(now)
	}
	for i.next <= now {
		if !i.judge.Ejected() {
			i.arrive(i.next)
		}
		i.next += time.Duration(i.rng.ExpFloat64() / i.cfg.Rate * float64(time.Second))
	}
	var cmds []judge.Cmd
	tell := func(msg judge.Msg) {
		model, more := i.judge.Update(msg)
		i.judge = model
		cmds = append(cmds, more...)
	}
	i.hint(now, tell)
	i.finish(now, tell)
	i.stall(now, tell)
	tell(judge.ClockMsg{At: now})
	return cmds
}

// hint tells the detector what the ingress saw of the data centre.
func (i *instance) hint(now time.Duration, tell func(judge.Msg)) {
	if now < i.nextHint {
		return
	}
	i.nextHint = now + _hintEvery
	tell(i.ingress.hint(now))
}

func (i *instance) arrive(at time.Duration) {
	slot := 0
	for n := range i.free {
		if i.free[n] < i.free[slot] {
			slot = n
		}
	}
	start := max(at, i.free[slot])
	if start > at+_timeout {
		return
	}
	q := i.request(start)
	i.free[slot] = q.end
	i.open = append(i.open, q)
}

// request draws how a request goes that starts at a time.
func (i *instance) request(start time.Duration) request {
	noise := i.cfg.Noise
	slow := noise.spike(start) * noise.cold(start-i.born)
	took := float64(_took) * slow * math.Exp(noise.Spread*i.rng.NormFloat64())
	failing := noise.Failing
	if i.sick && start >= i.cfg.Onset {
		ill := i.ill.at(start - i.cfg.Onset)
		failing = max(failing, ill.Failing)
		took *= max(1, ill.Slower)
		if ill.Hang {
			return i.bad(request{start: start, end: start + _timeout, failed: true})
		}
		if i.firstBad < 0 && (ill.Failing > 0 || ill.Slower > 1) {
			i.firstBad = start
		}
	}
	q := request{start: start, failed: i.rng.Float64() < failing}
	if q.failed {
		took = float64(_refusedAfter)
	}
	q.end = start + time.Duration(took)
	q.stalls = start + i.stallLimit()
	return q
}

func (i *instance) bad(q request) request {
	if i.firstBad < 0 {
		i.firstBad = q.start
	}
	q.stalls = q.start + i.stallLimit()
	return q
}

func (i *instance) finish(now time.Duration, tell func(judge.Msg)) {
	kept := i.open[:0]
	for _, q := range i.open {
		if q.end > now {
			kept = append(kept, q)
			continue
		}
		msg := judge.ResultMsg{At: now, Took: q.end - q.start, Failed: q.failed}
		i.ingress.learn(i.id, msg)
		tell(msg)
	}
	i.open = kept
}

func (i *instance) stall(now time.Duration, tell func(judge.Msg)) {
	for n := range i.open {
		if q := &i.open[n]; now >= q.stalls {
			q.stalls = now + i.stallLimit()
			tell(judge.StallMsg{At: now})
		}
	}
}

func (i *instance) stallLimit() time.Duration {
	least := _sureStall
	if i.cfg.Patience == spec.Quick {
		least = _quickStall
	}
	return max(least, _stallFactor*i.judge.Median())
}
