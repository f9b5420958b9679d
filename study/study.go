package study

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	_defaultRate      = 20
	_defaultSlots     = 4
	_defaultInstances = 8
	_defaultFloor     = 6
	_defaultPerCenter = 2
	_tick             = 50 * time.Millisecond
)

// Config configures a simulation of a service.
type Config struct {
	Patience spec.Patience
	// Threshold overrides the evidence threshold of Patience, unless it is 0.
	Threshold float64
	Noise     Noise
	Fault     Fault
	// Faulty is the number of instances that become faulty at Onset, at least 1.
	Faulty int
	// Onset is the time at which the fault begins; 0 means no fault.
	Onset time.Duration
	// For is the duration of the simulation.
	For time.Duration
	// Rate is the number of requests per second and instance.
	Rate float64
	// Slots is the number of concurrent requests per instance.
	Slots     int
	Instances int
	// PerCenter is the number of instances in each data centre. An ingress compares
	// only the instances in its own.
	PerCenter int
	Floor     int
	Seed      uint64
}

// Result is the result of a simulation.
type Result struct {
	// Detected is the time from the first affected request to the last one that
	// the first faulty instance received, if it was ejected.
	Detected time.Duration
	// Ejected is set if the first faulty instance was ejected.
	Ejected bool
	// FalseEjections is the number of ejections of healthy instances.
	FalseEjections int
	// MinHealthy is the lowest number of healthy instances in service.
	MinHealthy int
}

// service is the state of a simulation.
type service struct {
	cfg       Config
	arbiter   floor.Model
	instances []*instance
	result    Result
}

// Run simulates a service until its first faulty instance is ejected or the duration
// is over.
func Run(cfg Config) Result {
	cfg = cfg.withDefaults()
	s := &service{cfg: cfg, arbiter: floor.New(cfg.Floor), result: Result{MinHealthy: cfg.Instances}}
	var ingress *ingressState
	for n := range cfg.Instances {
		if n%cfg.PerCenter == 0 {
			ingress = newIngress()
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
		s.result.MinHealthy = min(s.result.MinHealthy, s.arbiter.Healthy(now))
	}
	return s.result
}

func (s *service) step(i *instance, now time.Duration) {
	for _, cmd := range i.advance(now) {
		switch cmd := cmd.(type) {
		case detect.EjectCmd:
			s.eject(i, cmd, now)
		case detect.RestoreCmd:
			s.arbiter, _ = s.arbiter.Update(floor.RestoreMsg{ID: i.id})
		}
	}
}

// eject asks the arbiter for permission to eject an instance. The reply takes
// effect at most one tick later.
func (s *service) eject(i *instance, cmd detect.EjectCmd, now time.Duration) {
	arbiter, cmds := s.arbiter.Update(floor.EjectMsg{ID: i.id, At: now, TTL: cmd.Duration, Confirm: detect.ConfirmDelay(s.cfg.Patience)})
	s.arbiter = arbiter
	switch cmd := cmds[0].(type) {
	case floor.RefusedCmd:
		i.detector, _ = i.detector.Update(detect.DenyMsg{At: now, RetrySoon: cmd.Reason == floor.Unconfirmed})
	case floor.GrantedCmd:
		i.detector, _ = i.detector.Update(detect.GrantMsg{At: now})
		if i.firstAffected < 0 {
			s.result.FalseEjections++
			return
		}
		if i.id == "0" {
			s.result.Ejected = true
			s.result.Detected = now + _tick - i.firstAffected
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
	if c.PerCenter == 0 {
		c.PerCenter = _defaultPerCenter
	}
	if c.Noise.Name == "" {
		c.Noise = BaselineNoise()
	}
	return c
}

func name(n int) string { return strconv.Itoa(n) }
