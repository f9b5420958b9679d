package trust

import "time"

const (
	// _requiredSuccesses is how many consecutive requests must succeed before an
	// instance is trusted again. An instance that fails half of its requests passes
	// one by chance every second time, but two only one time in four.
	_requiredSuccesses = 2
	// _maxProbes is how many requests may probe a suspected instance concurrently.
	_maxProbes = 1
	// _firstProbeDelay is the time from a first failure to the first probe. A first
	// failure is as often isolated as it is the start of a series.
	_firstProbeDelay = 200 * time.Millisecond
	// _nextProbeDelay is the time to the next probe after a failed one. Partial
	// failures last seconds, and each failed probe costs a retry.
	_nextProbeDelay = 2 * time.Second
	// _othersFullShare is the share of the probe delay that applies to a request that
	// found the other instances full. Capacity is worth more than a retry then.
	_othersFullShare = 0.5
	// A running request counts as a success once it has run _outlivedFactor times as
	// long as the last failure took, and at least _minOutlived.
	_outlivedFactor = 4
	_minOutlived    = 50 * time.Millisecond
	// _workedOnShare is the share of a typical latency after which an instance has begun
	// to work on a request. Instances in trouble mostly fail sooner.
	_workedOnShare = 0.25
	// _minRetryAfter is the shortest time that a refused request stays away. A probe in
	// flight outlives the failures in about that time.
	_minRetryAfter = 100 * time.Millisecond
	// _suspicionTTL is how long suspicion lasts after the last failure unless enough
	// probes succeed. Partial failures last a few seconds.
	_suspicionTTL = 5 * time.Second
)

// Model is the state of the breaker of one instance. The zero value trusts it.
//
// There are two degrees of suspicion. Requests that other instances have room for avoid
// an instance until requests that started after its last failure have succeeded. Where
// the others are full, any successes suffice: an instance that fails in part is worth
// more than none.
type Model struct {
	suspected      bool          // by requests that other instances have room for
	open           bool          // for requests that found the others full, too
	successes      int           // since the last failure, of requests that started after it
	anySuccesses   int           // since the last failure
	failedAt       time.Duration // time of the last failure
	failureLatency time.Duration // latency of the last failure
	probeDelay     time.Duration // from failedAt to the next probe
	probeFailed    bool          // whether a probe has failed since the first failure
	toleratedAt    time.Duration // time of a failure that did not count by itself, or 0
}

// Msg is a message to the model; At is the time since the process started.
type Msg interface{ trustMsg() }

// ResultMsg reports the result of a request to the instance.
type ResultMsg struct {
	At     time.Duration
	Failed bool
	// Latency is the time that the instance spent on the request.
	Latency time.Duration
	// StartedAt is when the request started at the instance.
	StartedAt time.Duration
	// Typical is the latency of a typical request at the instance, or 0 if unknown.
	Typical time.Duration
}

// workedOn reports whether the instance spent so much time on the request that it
// probably failed at the request itself.
func (msg ResultMsg) workedOn() bool {
	return msg.Typical > 0 && msg.Latency > max(_minOutlived, time.Duration(_workedOnShare*float64(msg.Typical)))
}

// OutlivedMsg reports that a running request has outlived the failures; see Outlives.
type OutlivedMsg struct{ At time.Duration }

// RestartMsg reports that the instance has restarted.
type RestartMsg struct{}

func (ResultMsg) trustMsg()   {}
func (OutlivedMsg) trustMsg() {}
func (RestartMsg) trustMsg()  {}

// Update returns the model after a message.
func (m Model) Update(msg Msg) Model {
	switch msg := msg.(type) {
	case ResultMsg:
		return m.result(msg)
	case OutlivedMsg:
		return m.succeed()
	case RestartMsg:
		return Model{}
	}
	return m
}

func (m Model) result(msg ResultMsg) Model {
	if !msg.Failed {
		return m.onSuccess(msg)
	}
	if msg.workedOn() && !m.Suspects(msg.At) && !m.tolerated(msg.At) {
		m.toleratedAt = msg.At
		return m
	}
	next := Model{suspected: true, open: true, failedAt: msg.At, failureLatency: msg.Latency, probeDelay: _firstProbeDelay}
	if m.Suspects(msg.At) && (m.successes == 0 || m.probeFailed) {
		next.probeDelay, next.probeFailed = _nextProbeDelay, true
	}
	return next
}

// tolerated reports whether a failure was tolerated lately.
func (m Model) tolerated(at time.Duration) bool {
	return m.toleratedAt > 0 && at < m.toleratedAt+_suspicionTTL
}

// onSuccess counts a request that succeeded. One that started before the last failure
// shows nothing of the time after it.
func (m Model) onSuccess(msg ResultMsg) Model {
	m.toleratedAt = 0
	if m.suspected && msg.StartedAt < m.failedAt {
		m.anySuccesses++
		m.open = m.open && m.anySuccesses < _requiredSuccesses
		return m
	}
	return m.succeed()
}

// succeed counts a request that succeeded or outlived the failures.
func (m Model) succeed() Model {
	m.successes++
	m.anySuccesses++
	m.probeDelay = 0
	m.open = m.open && m.anySuccesses < _requiredSuccesses
	if m.successes >= _requiredSuccesses {
		m.suspected, m.probeFailed = false, false
	}
	return m
}

// Outlives reports whether a request that is still running after elapsed counts as
// a success, since failures took much less time.
func (m Model) Outlives(elapsed time.Duration) bool {
	return elapsed >= max(_minOutlived, _outlivedFactor*m.failureLatency)
}

// ProbeWindow returns when the next probe may start and when suspicion ends, for
// requests that found the other instances full. Both are 0 if those are admitted.
func (m Model) ProbeWindow() (from, until time.Duration) {
	if !m.open {
		return 0, 0
	}
	return m.failedAt + m.probeDelay, m.failedAt + _suspicionTTL
}

// ProbeFailed reports whether the instance admits no requests but probes and has failed
// one.
func (m Model) ProbeFailed() bool {
	return m.open && m.probeFailed
}

// Request is the input of Admits.
type Request struct {
	At time.Duration
	// Once marks a request that is not idempotent.
	Once bool
	// Probes is the number of probes in flight.
	Probes int
	// OthersFull marks a request that found no free slot at other instances.
	OthersFull bool
}

// Suspects reports whether the instance has failed recently.
func (m Model) Suspects(at time.Duration) bool {
	return m.suspected && at < m.failedAt+_suspicionTTL
}

// Admits reports whether the instance should get a request that another
// instance could serve.
func (m Model) Admits(r Request) bool {
	if !m.Suspects(r.At) || r.OthersFull && !m.open {
		return true
	}
	return !r.Once && r.Probes < _maxProbes && r.At >= m.nextProbe(r)
}

// RetryAfter returns how long a request that is not admitted should stay away.
func (m Model) RetryAfter(r Request) time.Duration {
	if !m.open {
		return _minRetryAfter
	}
	return max(_minRetryAfter, m.nextProbe(r)-r.At)
}

// nextProbe returns when the next probe may start.
func (m Model) nextProbe(r Request) time.Duration {
	if r.OthersFull {
		return m.failedAt + time.Duration(_othersFullShare*float64(m.probeDelay))
	}
	return m.failedAt + m.probeDelay
}
