package judge

import (
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// Reason says what the evidence was.
type Reason string

const (
	// Failures means that too many requests failed or stalled.
	Failures Reason = "failures"
	// Slow means that too many requests took long against the median.
	Slow Reason = "slow"
)

const (
	_healthyFailures = 0.02
	_sickFailures    = 0.30
	_healthySlow     = 0.08
	_sickSlow        = 0.50

	_quickEvidence = 8.0
	_sureEvidence  = 27.0

	_slowFactor  = 2.5
	_sharedCause = 0.5
	_hintLife    = 10 * time.Second
	_askInterval = 500 * time.Millisecond

	_quickHold = 5 * time.Second
	_sureHold  = 10 * time.Second
	_maxHold   = 5 * time.Minute
	_holdDecay = 10
)

var (
	_failureOdds = oddsOf(_healthyFailures, _sickFailures)
	_slowOdds    = oddsOf(_healthySlow, _sickSlow)
)

// Config sets up a detector.
type Config struct {
	Patience spec.Patience
	// Warm is the time from which slow answers count.
	Warm time.Duration
}

// Model is the detector of one instance; one loop owns it.
type Model struct {
	cfg      Config
	failures cusum
	slow     cusum
	median   time.Duration
	failing  float64
	hinted   time.Duration
	asked    time.Duration
	asking   bool
	ejected  bool
	until    time.Duration
	hold     time.Duration
	restored time.Duration
}

// New returns a detector without evidence.
func New(cfg Config) Model {
	return Model{cfg: cfg, asked: -_askInterval, hinted: -_hintLife}
}

// Ejected reports whether the instance is out of service.
func (m Model) Ejected() bool {
	return m.ejected
}

// Median returns the service's median time as the last ingress told it.
func (m Model) Median() time.Duration {
	return m.median
}

// Sick reports whether the evidence asks for an ejection.
func (m Model) Sick() bool {
	_, sick := m.reason()
	return sick
}

// Update folds one message in and returns what follows from it.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case WorkMsg:
		return m.work(msg).ask(msg.At)
	case StallMsg:
		m.failures = m.failures.add(_failureOdds, true)
		return m.ask(msg.At)
	case HintMsg:
		m.median, m.failing, m.hinted = msg.Median, msg.Failing, msg.At
	case GrantMsg:
		return m.grant(msg.At), nil
	case DenyMsg:
		m.asking = false
	case ClockMsg:
		return m.clock(msg.At)
	}
	return m, nil
}

func (m Model) work(msg WorkMsg) Model {
	if m.ejected {
		return m
	}
	m.failures = m.failures.add(_failureOdds, msg.Failed)
	fresh := m.median > 0 && msg.At < m.hinted+_hintLife
	if fresh && !msg.Failed && msg.At >= m.cfg.Warm {
		limit := time.Duration(_slowFactor * float64(m.median))
		m.slow = m.slow.add(_slowOdds, msg.Took > limit)
	}
	return m
}

// ask wants an ejection, but not for a cause that most instances share.
func (m Model) ask(at time.Duration) (Model, []Cmd) {
	reason, sick := m.reason()
	if !sick || m.ejected || at < m.asked+_askInterval {
		return m, nil
	}
	if m.failing > _sharedCause && at < m.hinted+_hintLife {
		return m, nil
	}
	m.asked = at
	m.asking = true
	m.hold = m.nextHold(at)
	return m, []Cmd{EjectCmd{For: m.hold, Reason: reason}}
}

func (m Model) reason() (Reason, bool) {
	limit := _sureEvidence
	if m.cfg.Patience == spec.Quick {
		limit = _quickEvidence
	}
	switch {
	case m.failures.sum >= limit:
		return Failures, true
	case m.slow.sum >= limit:
		return Slow, true
	}
	return "", false
}

// nextHold doubles for an instance that fails again soon after its return.
func (m Model) nextHold(at time.Duration) time.Duration {
	first := _sureHold
	if m.cfg.Patience == spec.Quick {
		first = _quickHold
	}
	if m.hold == 0 || m.restored > 0 && at > m.restored+_holdDecay*m.hold {
		return first
	}
	if m.restored == 0 {
		return m.hold
	}
	return min(2*m.hold, _maxHold)
}

func (m Model) grant(at time.Duration) Model {
	m.asking = false
	m.ejected = true
	m.until = at + m.hold
	m.restored = 0
	m.failures = cusum{}
	m.slow = cusum{}
	return m
}

func (m Model) clock(at time.Duration) (Model, []Cmd) {
	if m.ejected && at >= m.until {
		m.ejected = false
		m.restored = at
		return m, []Cmd{RestoreCmd{}}
	}
	return m.ask(at)
}
