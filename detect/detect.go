package detect

import (
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// Reason names the test that found an instance unhealthy.
type Reason string

const (
	// Failures means that too many requests failed or stalled.
	Failures Reason = "failures"
	// Slow means that too many requests were slow against the median.
	Slow Reason = "slow"
	// SlowBodies means that too many response bodies were slow once they had begun.
	SlowBodies Reason = "slow bodies"
)

const (
	_healthyFailureRate   = 0.02
	_unhealthyFailureRate = 0.30
	_healthySlowRate      = 0.08
	_unhealthySlowRate    = 0.50

	_quickThreshold    = 8.0
	_sureThreshold     = 32.0
	_evidenceCapFactor = 1.1

	_slowFactor         = 2.0
	_slowMargin         = 10 * time.Millisecond
	_bodyTimeMargin     = 100 * time.Millisecond // per MiB
	_evidenceHalfLife   = 5 * time.Second
	_sharedCauseShare   = 0.5
	_statsTTL           = 10 * time.Second
	_minRequestInterval = 250 * time.Millisecond
	_maxRequestInterval = 8 * time.Second

	_quickConfirm = 500 * time.Millisecond
	_sureConfirm  = 2 * time.Second

	_quickEjection = 5 * time.Second
	_sureEjection  = 10 * time.Second
	_maxEjection   = 5 * time.Minute
	_backoffReset  = 10
)

var (
	_failureSteps = newSteps(_healthyFailureRate, _unhealthyFailureRate)
	_slowSteps    = newSteps(_healthySlowRate, _unhealthySlowRate)
)

// Config sets up a detector.
type Config struct {
	Patience spec.Patience
	// Threshold overrides the patience's evidence threshold if it is set.
	Threshold float64
	// WarmAt is when the instance is warm. Requests that started earlier and bodies
	// measured earlier do not count as slow.
	WarmAt time.Duration
	// Warmup is how long an instance takes to warm up after an ejection.
	Warmup time.Duration
}

// Model is the detector of one instance; one loop owns it.
type Model struct {
	cfg             Config
	failures        cusum
	slow            slowness
	bodies          slowness
	median          time.Duration
	bodyTimePerMiB  time.Duration
	failingShare    float64
	statsAt         time.Duration
	nextRequest     time.Duration
	requestInterval time.Duration
	ejected         bool
	ejectedUntil    time.Duration
	ejection        time.Duration
	restoredAt      time.Duration
	evidenceAt      time.Duration // when evidence was last added or decayed
}

// ConfirmDelay returns how long an ejection request must stand before it is granted.
func ConfirmDelay(p spec.Patience) time.Duration {
	if p == spec.Quick {
		return _quickConfirm
	}
	return _sureConfirm
}

// New returns a detector without evidence.
func New(cfg Config) Model {
	return Model{cfg: cfg, statsAt: -_statsTTL}
}

// Ejected reports whether the instance is out of service.
func (m Model) Ejected() bool {
	return m.ejected
}

// Median returns the service's median time as last reported by an ingress.
func (m Model) Median() time.Duration {
	return m.median
}

// Unhealthy reports whether the evidence suffices for an ejection.
func (m Model) Unhealthy() bool {
	_, unhealthy := m.reason()
	return unhealthy
}

// Update applies one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case ResultMsg:
		return m.onResult(msg).requestEjection(msg.At)
	case CancelMsg:
		return m.onCancel(msg).requestEjection(msg.At)
	case StallMsg:
		m.evidenceAt = msg.At
		m.failures = m.failures.add(_failureSteps, true, m.evidenceCap())
		return m.requestEjection(msg.At)
	case BodyTimeMsg:
		return m.onBodyTime(msg).requestEjection(msg.At)
	case StatsMsg:
		m.median, m.bodyTimePerMiB = msg.Median, msg.BodyTimePerMiB
		m.failingShare, m.statsAt = msg.FailingShare, msg.At
	case GrantMsg:
		return m.onGrant(msg.At), nil
	case DenyMsg:
		return m.onDeny(msg), nil
	case RestoredMsg:
		return m.onRestored(msg.At), nil
	case ClockMsg:
		return m.onClock(msg.At)
	}
	return m, nil
}

func (m Model) onResult(msg ResultMsg) Model {
	if m.ejected {
		return m
	}
	m.evidenceAt = msg.At
	m.failures = m.failures.add(_failureSteps, msg.Failed, m.evidenceCap())
	// A request that started on a cold instance is slow for that reason, whenever
	// it ends.
	warm := msg.At-msg.Latency >= m.cfg.WarmAt
	if limit, known := m.slowTime(msg.At, msg.Median); known && warm && !msg.Failed {
		m.slow = m.slow.add(msg.Latency, limit, m.evidenceCap())
	}
	return m
}

// onCancel counts a request as slow if it was slow already when its caller gave up:
// otherwise a straggler whose callers have short timeouts would show no evidence.
func (m Model) onCancel(msg CancelMsg) Model {
	limit, known := m.slowTime(msg.At, msg.Median)
	if m.ejected || !known || msg.Elapsed <= limit || msg.At-msg.Elapsed < m.cfg.WarmAt {
		return m
	}
	m.evidenceAt = msg.At
	m.slow = m.slow.add(msg.Elapsed, limit, m.evidenceCap())
	return m
}

// onBodyTime compares the body time per MiB of a response with the service's median.
func (m Model) onBodyTime(msg BodyTimeMsg) Model {
	if m.ejected || m.bodyTimePerMiB == 0 || msg.At >= m.statsAt+_statsTTL || msg.At < m.cfg.WarmAt {
		return m
	}
	m.evidenceAt = msg.At
	m.bodies = m.bodies.add(msg.PerMiB, slowThreshold(m.bodyTimePerMiB, _bodyTimeMargin), m.evidenceCap())
	return m
}

// slowTime returns the time beyond which a request counts as slow, or false without
// a recent median.
func (m Model) slowTime(at, median time.Duration) (time.Duration, bool) {
	if median == 0 {
		median = m.median
	}
	if median == 0 || at >= m.statsAt+_statsTTL || at < m.cfg.WarmAt {
		return 0, false
	}
	return slowThreshold(median, _slowMargin), true
}

func slowThreshold(median, margin time.Duration) time.Duration {
	return max(time.Duration(_slowFactor*float64(median)), median+margin)
}

// requestEjection requests an ejection if the instance is unhealthy, unless most
// instances fail at once and so share a cause.
func (m Model) requestEjection(at time.Duration) (Model, []Cmd) {
	reason, unhealthy := m.reason()
	if !unhealthy || m.ejected || at < m.nextRequest {
		return m, nil
	}
	if m.failingShare > _sharedCauseShare && at < m.statsAt+_statsTTL {
		return m, nil
	}
	m.nextRequest = at + max(_minRequestInterval, m.requestInterval)
	m.ejection = m.nextEjection(at)
	return m, []Cmd{EjectCmd{Duration: m.ejection, Reason: reason}}
}

func (m Model) reason() (Reason, bool) {
	switch threshold := m.threshold(); {
	case m.failures.sum >= threshold:
		return Failures, true
	case m.slow.unhealthy(threshold, m.median):
		return Slow, true
	case m.bodies.unhealthy(threshold, m.bodyTimePerMiB):
		return SlowBodies, true
	}
	return "", false
}

// threshold returns the evidence that an ejection needs.
func (m Model) threshold() float64 {
	switch {
	case m.cfg.Threshold > 0:
		return m.cfg.Threshold
	case m.cfg.Patience == spec.Quick:
		return _quickThreshold
	default:
		return _sureThreshold
	}
}

// evidenceCap returns the evidence beyond which more adds nothing.
func (m Model) evidenceCap() float64 {
	return _evidenceCapFactor * m.threshold()
}

// nextEjection returns the duration of the next ejection: it doubles for an instance
// that becomes unhealthy again soon after its return.
func (m Model) nextEjection(at time.Duration) time.Duration {
	first := _sureEjection
	if m.cfg.Patience == spec.Quick {
		first = _quickEjection
	}
	if m.ejection == 0 || m.restoredAt > 0 && at > m.restoredAt+_backoffReset*m.ejection {
		return first
	}
	if m.restoredAt == 0 {
		return m.ejection
	}
	return min(2*m.ejection, _maxEjection)
}

func (m Model) onGrant(at time.Duration) Model {
	m.requestInterval = 0
	m.ejected = true
	m.ejectedUntil = at + m.ejection
	m.restoredAt = 0
	m.failures = cusum{}
	m.slow = slowness{}
	m.bodies = slowness{}
	return m
}

// onDeny backs off, unless the arbiter wants the request repeated soon.
func (m Model) onDeny(msg DenyMsg) Model {
	if msg.RetrySoon {
		m.requestInterval = 0
		return m
	}
	m.requestInterval = min(max(_minRequestInterval, 2*m.requestInterval), _maxRequestInterval)
	m.nextRequest = msg.At + m.requestInterval
	return m
}

func (m Model) onClock(at time.Duration) (Model, []Cmd) {
	if m.ejected && at >= m.ejectedUntil {
		return m.onRestored(at), []Cmd{RestoreCmd{}}
	}
	return m.decayEvidence(at).requestEjection(at)
}

func (m Model) onRestored(at time.Duration) Model {
	if !m.ejected {
		return m
	}
	m.ejected = false
	m.restoredAt = at
	m.cfg.WarmAt = at + m.cfg.Warmup
	return m
}

// decayEvidence halves old evidence: an instance without work shows nothing new.
func (m Model) decayEvidence(at time.Duration) Model {
	if at < m.evidenceAt+_evidenceHalfLife {
		return m
	}
	m.evidenceAt = at
	m.failures.sum /= 2
	m.slow.evidence.sum /= 2
	m.bodies.evidence.sum /= 2
	return m
}
