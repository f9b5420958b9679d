package probe

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _maxProbes is how many owners are asked for a free slot before the request
	// queues. Each probe costs a round trip, and of four owners at least one has a
	// free slot unless the whole service is nearly full.
	_maxProbes = 4
	// _maxFarProbes is how many owners in other data centres may refuse for lack of a free
	// slot before the request queues. Each of them costs a round trip and bytes between
	// data centres, and their loads are known from those that refused.
	_maxFarProbes = 2
	// _probesAfterWait is the number of probes after a wait. Loads are known by then.
	_probesAfterWait = 2
	// _maxWaitPerOwner is how long a request waits at one owner before it probes
	// others. An instance that becomes slow or fails does so for seconds.
	_maxWaitPerOwner = 500 * time.Millisecond
	// _maxBudgetRefusals is how many owners may refuse for lack of retry budget
	// before the search ends and the request's first outcome stands.
	_maxBudgetRefusals = 6
	// _maxQueueRefusals is how many owners may refuse to queue the request before the
	// search ends.
	_maxQueueRefusals = 3
	// _maxWaitShare is the share of its timeout that a request waits for a slot. After
	// that, a retry by the caller is more useful than a longer wait.
	_maxWaitShare = 0.5
	// _noRetryPauseShare is the share of its timeout that a request which cannot be
	// retried waits for an instance without recent failures. It also bounds the wait
	// for instances that their owners do not know yet, and for unreachable owners.
	_noRetryPauseShare = 0.2
	// _maxUnreachedWait is how long a request waits at most for an owner that cannot be
	// reached. Owners that stall, or whose network does, reply again within a second or two.
	_maxUnreachedWait = 2 * time.Second
	// _retryPause is the delay before such a request probes again. It equals the delay
	// before package trust probes whether a failing instance has recovered.
	_retryPause = 200 * time.Millisecond
)

// Config describes a request.
type Config struct {
	// Start is when the request arrived, and Deadline when it times out.
	Start, Deadline time.Duration
	// NoRetry marks a request that cannot be sent to another instance once it has
	// failed.
	NoRetry bool
}

// Model is the state of one request's search. It is not safe for concurrent use.
type Model struct {
	cfg            Config
	sent           []view.Key // not tried again
	failing        []view.Key // refused because of recent failures
	full           []view.Key // refused with AdmitIfFree
	overloaded     []view.Key // refused with AdmitQueued or AdmitAny
	unknown        []view.Key // unknown to their owners, which may have just started
	unreached      []view.Key // their owners could not be reached in time
	probesLeft     int
	farRefusals    int // for lack of a free slot, in other data centres
	budgetRefusals int
	lastMode       AdmissionMode
}

// New returns the model of a request that has not tried any owner.
func New(cfg Config) Model {
	return Model{cfg: cfg, probesLeft: _maxProbes}
}

// WithNoRetry returns the model with Config.NoRetry changed. The last attempt that a
// request is allowed has no retry either.
func (m Model) WithNoRetry(noRetry bool) Model {
	m.cfg.NoRetry = noRetry
	return m
}

// Update applies a message and returns the next command, if any.
func (m Model) Update(msg Msg) (Model, Cmd) {
	switch msg := msg.(type) {
	case NextMsg:
		return m.next(msg.At)
	case NoCandidateMsg:
		return m.noCandidate(msg)
	case RefusedMsg:
		return m.refused(msg), nil
	case SentMsg:
		m.sent = append(slices.Clip(m.sent), msg.Key)
	}
	return m, nil
}

func (m Model) next(at time.Duration) (Model, Cmd) {
	if m.budgetRefusals >= _maxBudgetRefusals || m.elapsedShare(at) >= _maxWaitShare {
		return m, StopCmd{}
	}
	if m.probesLeft > 0 {
		m.probesLeft--
		m.lastMode = AdmitIfFree
		return m, TryCmd{Mode: AdmitIfFree, Exclude: m.exclude(m.failing, m.full)}
	}
	return m.queue(at)
}

func (m Model) queue(at time.Duration) (Model, Cmd) {
	if len(m.overloaded) >= _maxQueueRefusals {
		return m, StopCmd{}
	}
	m.lastMode = AdmitQueued
	return m, TryCmd{Mode: AdmitQueued, Exclude: m.exclude(m.failing), MaxWait: min(_maxWaitPerOwner, m.waitLeft(at)), WaitLeft: m.waitLeft(at)}
}

// waitLeft returns how much longer the request may wait for a slot.
func (m Model) waitLeft(at time.Duration) time.Duration {
	maxWait := time.Duration(_maxWaitShare * float64(m.cfg.Deadline-m.cfg.Start))
	return max(0, m.cfg.Start+maxWait-at)
}

// noCandidate moves to the next mode, pauses or ends the search.
func (m Model) noCandidate(msg NoCandidateMsg) (Model, Cmd) {
	switch {
	case m.lastMode == AdmitIfFree:
		m.probesLeft = 0
		return m.queue(msg.At)
	case len(m.unknown) > 0 && m.elapsedShare(msg.At) < _noRetryPauseShare:
		return m.pause()
	case m.lastMode == AdmitAny || len(m.failing) == 0 && !msg.Skipped:
		if len(m.unreached) > 0 && len(m.overloaded) == 0 && msg.At < m.unreachedWaitEnd() {
			return m.pause()
		}
		return m, StopCmd{}
	case len(m.overloaded) > 0:
		// The other instances are overloaded. If the request were sent to a failing
		// one, it would need a retry that they cannot serve.
		return m, StopCmd{}
	case m.cfg.NoRetry && m.elapsedShare(msg.At) < _noRetryPauseShare:
		return m.pause()
	}
	m.lastMode = AdmitAny
	m.probesLeft = 0
	return m, TryCmd{Mode: AdmitAny, Exclude: m.exclude(), MaxWait: min(_maxWaitPerOwner, m.waitLeft(msg.At)), WaitLeft: m.waitLeft(msg.At)}
}

// pause delays the next probes and clears refusals that may not hold after it.
func (m Model) pause() (Model, Cmd) {
	m.failing, m.full, m.unknown, m.unreached = nil, nil, nil, nil
	m.probesLeft = _probesAfterWait
	return m, PauseCmd{Delay: _retryPause}
}

func (m Model) refused(msg RefusedMsg) Model {
	// A concurrent attempt may have marked the instance as sent.
	m.sent = slices.DeleteFunc(slices.Clone(m.sent), func(k view.Key) bool { return k == msg.Key })
	switch msg.Reason {
	case OwnerRestarted:
	case Full:
		if msg.Mode == AdmitIfFree {
			m.full = append(slices.Clip(m.full), msg.Key)
			if msg.Far {
				m.farRefusals++
			}
			if m.farRefusals >= _maxFarProbes {
				m.probesLeft = 0
			}
			return m
		}
		m.overloaded = append(slices.Clip(m.overloaded), msg.Key)
	case RecentFailures:
		m.failing = append(slices.Clip(m.failing), msg.Key)
	case UnknownInstance:
		m.unknown = append(slices.Clip(m.unknown), msg.Key)
	case Unreached:
		m.unreached = append(slices.Clip(m.unreached), msg.Key)
	case WaitExpired:
		m.full, m.failing, m.unknown = nil, nil, nil
		m.probesLeft = _probesAfterWait
	case BudgetExhausted:
		m.budgetRefusals++
		m.sent = append(slices.Clip(m.sent), msg.Key)
	case NotAccepting:
		m.sent = append(slices.Clip(m.sent), msg.Key)
	}
	return m
}

// exclude returns the instances that are not tried now: those given and those that no mode
// of admission allows.
func (m Model) exclude(others ...[]view.Key) []view.Key {
	return slices.Concat(m.sent, m.unknown, m.unreached, m.overloaded, slices.Concat(others...))
}

// unreachedWaitEnd returns until when the request waits for owners that cannot be reached.
func (m Model) unreachedWaitEnd() time.Duration {
	share := time.Duration(_noRetryPauseShare * float64(m.cfg.Deadline-m.cfg.Start))
	return m.cfg.Start + min(share, _maxUnreachedWait)
}

// elapsedShare returns the share of the request's timeout that has elapsed.
func (m Model) elapsedShare(at time.Duration) float64 {
	return float64(at-m.cfg.Start) / float64(max(m.cfg.Deadline-m.cfg.Start, 1))
}
