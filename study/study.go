package study

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_defaultRate      = 20
	_defaultSlots     = 4
	_defaultInstances = 8
	_defaultFloor     = 6
	_defaultNear      = 2
	_tick             = 50 * time.Millisecond
)

// Config sets up one run of a service.
type Config struct {
	Patience spec.Patience
	// Evidence replaces the patience's evidence when it is set.
	Evidence float64
	Noise    Noise
	Ill      Ill
	// Sick is the number of instances that fall ill at the onset.
	Sick int
	// Onset is when the illness begins.
	Onset time.Duration
	// For is how long the run lasts.
	For time.Duration
	// Rate is the number of requests a second that reach each instance.
	Rate float64
	// Slots is the number of requests that an instance runs at a time.
	Slots     int
	Instances int
	// Near is the number of instances in each data centre, which an ingress
	// compares.
	Near  int
	Floor int
	Seed  uint64
}

// Result is what one run came to.
type Result struct {
	// Detected is the time from the first bad request to the last one that
	// the first sick instance received, if it was ejected.
	Detected time.Duration
	// Ejected says that the first sick instance was ejected.
	Ejected bool
	// False is the number of ejections of healthy instances.
	False int
	// Least is the smallest number of healthy instances in service.
	Least int
}

// service is the state of one run.
type service struct {
	cfg       Config
	arbiter   floor.Model
	instances []*instance
	result    Result
}

// Run drives a service until its sick instance is ejected, or for the time.
func Run(cfg Config) Result {
	cfg = cfg.withDefaults()
	s := &service{cfg: cfg, arbiter: floor.New(cfg.Floor), result: Result{Least: cfg.Instances}}
	var ingress *near
	for n := range cfg.Instances {
		if n%cfg.Near == 0 {
			ingress = newNear()
		}
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(n)))
		i := newInstance(cfg, n, rng, ingress)
		s.instances = append(s.instances, i)
		s.arbiter, _ = s.arbiter.Update(floor.JoinMsg{ID: i.id})
	}
	for now := _tick; now < cfg.For && !s.result.Ejected; now += _tick {
		s.arbiter, _ = s.arbiter.Update(floor.ClockMsg{At: now})
		for _, i := range s.instances {
			s.step(i, now)
		}
		s.result.Least = min(s.result.Least, s.arbiter.Healthy(now))
	}
	return s.result
}

func (s *service) step(i *instance, now time.Duration) {
	for _, cmd := range i.advance(now) {
		switch cmd := cmd.(type) {
		case judge.EjectCmd:
			s.eject(i, cmd, now)
		case judge.RestoreCmd:
			s.arbiter, _ = s.arbiter.Update(floor.RestoreMsg{ID: i.id})
		}
	}
}

// eject asks the arbiter; the answer takes effect one tick later at the most.
func (s *service) eject(i *instance, cmd judge.EjectCmd, now time.Duration) {
	arbiter, cmds := s.arbiter.Update(floor.EjectMsg{ID: i.id, At: now, TTL: cmd.Duration, Confirm: judge.ConfirmDelay(s.cfg.Patience)})
	s.arbiter = arbiter
	switch cmd := cmds[0].(type) {
	case floor.RefusedCmd:
		i.judge, _ = i.judge.Update(judge.DenyMsg{At: now, RetrySoon: cmd.Reason == floor.Unconfirmed})
	case floor.GrantedCmd:
		i.judge, _ = i.judge.Update(judge.GrantMsg{At: now})
		if i.firstBad < 0 {
			s.result.False++
			return
		}
		if i.id == "0" {
			s.result.Ejected = true
			s.result.Detected = now + _tick - i.firstBad
		}
	}
}

func (c Config) withDefaults() Config {
	if c.Rate == 0 {
		c.Rate = _defaultRate
	}
	if c.Slots == 0 {
		c.Slots = _defaultSlots
	}
	if c.Instances == 0 {
		c.Instances = _defaultInstances
		c.Floor = _defaultFloor
	}
	if c.Near == 0 {
		c.Near = _defaultNear
	}
	if c.Noise.Name == "" {
		c.Noise = Calm()
	}
	return c
}

func name(n int) string { return strconv.Itoa(n) }
