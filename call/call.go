package call

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
)

const (
	_reasonSilent      = "connection silent"
	_reasonUnreachable = "owner unreachable"
	_reasonLost        = "lost on the way"
)

// Config holds what is known of a request on arrival.
type Config struct {
	// Once marks a request that is not idempotent.
	Once bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Replayable says that the body can be sent again.
	Replayable bool
	// MaxDeliveries is the maximum number of instances that may get the request, 0
	// for the default.
	MaxDeliveries int
}

// Model is the state of one request; one loop owns it.
type Model struct {
	cfg        Config
	claimed    bool
	mayHaveRun bool // an earlier attempt may have run
	hedged     bool
	attempts   int
	deliveries int // attempts that may have reached an instance
	execution  retry.Execution
	reason     string
}

// New returns the model of a request that has not started.
func New(cfg Config) Model {
	return Model{cfg: cfg}
}

// WithReplayable returns the model with Config.Replayable changed. A body that is
// streamed cannot be sent again once part of it has been read.
func (m Model) WithReplayable(replayable bool) Model {
	m.cfg.Replayable = replayable
	return m
}

// Attempts returns the number of attempts so far.
func (m Model) Attempts() int {
	return m.attempts
}

// Deliveries returns the number of attempts that may have reached an instance.
func (m Model) Deliveries() int {
	return m.deliveries
}

// Update applies one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case BeginMsg:
		return m.begin()
	case ClaimedMsg:
		return m.onClaimed(msg)
	case ResponseMsg:
		return m.onResponse(msg)
	case LostMsg:
		return m.onLost(msg)
	case RevokeResultMsg:
		return m.onRevokeResult(msg)
	case LateMsg:
		return m.onLate()
	case NoInstanceMsg:
		return m.onNoInstance()
	case NoBudgetMsg:
		return m.finish()
	case StatusMsg:
		return m, m.onStatus(msg)
	}
	return m, nil
}

func (m Model) begin() (Model, []Cmd) {
	if m.cfg.Once && m.cfg.Key != "" {
		return m, []Cmd{ClaimCmd{Key: m.cfg.Key}}
	}
	return m.attempt(false)
}

func (m Model) attempt(free bool) (Model, []Cmd) {
	m.attempts++
	return m, []Cmd{AttemptCmd{Retry: m.attempts > 1, Free: free}}
}

func (m Model) onClaimed(msg ClaimedMsg) (Model, []Cmd) {
	switch msg.Claim {
	case ClaimGranted:
		m.claimed = true
		return m.attempt(false)
	case ClaimHeld:
		return m, []Cmd{DuplicateCmd{State: msg.State}}
	case ClaimMismatch:
		return m, []Cmd{KeyMismatchCmd{}}
	default:
		// The claim may still have taken effect; no attempt ran under it here.
		return m, []Cmd{
			FailCmd{Execution: retry.NotExecuted, Reason: "the key could not be claimed"},
			SettleCmd{Outcome: claim.NotRun},
		}
	}
}

func (m Model) onResponse(msg ResponseMsg) (Model, []Cmd) {
	m.execution, m.reason = msg.Execution, msg.Reason
	if msg.Execution == retry.NotExecuted && msg.Resent {
		m.execution = retry.Unknown
	}
	if !msg.Free {
		m.deliveries++
	}
	switch {
	case msg.Execution != retry.Executed:
		return m.decide(msg.TimeLeft, msg.Free)
	case msg.Failed && m.mayRetry(msg.TimeLeft):
		m.mayHaveRun = true
		return m.attempt(false)
	}
	return m.finish()
}

// mayRetry reports whether a request may run on another instance after an attempt
// that ran and failed.
func (m Model) mayRetry(left time.Duration) bool {
	return !m.cfg.Once && retry.Decide(m.retryAttempt(retry.Unknown, left)).Retry
}

func (m Model) retryAttempt(execution retry.Execution, left time.Duration) retry.Attempt {
	return retry.Attempt{
		Execution:     execution,
		Once:          m.cfg.Once,
		Replayable:    m.cfg.Replayable,
		Attempts:      m.attempts,
		Deliveries:    m.deliveries,
		MaxDeliveries: m.cfg.MaxDeliveries,
		TimeLeft:      left,
	}
}

func (m Model) onLost(msg LostMsg) (Model, []Cmd) {
	m.execution, m.reason = retry.Unknown, msg.Reason
	if !msg.Sent {
		m.execution = retry.NotExecuted
		return m.decide(msg.TimeLeft, true)
	}
	m.deliveries++
	if m.cfg.Once && msg.TimeLeft > 0 {
		return m, []Cmd{RevokeCmd{}}
	}
	return m.decide(msg.TimeLeft, false)
}

func (m Model) onRevokeResult(msg RevokeResultMsg) (Model, []Cmd) {
	revoked := msg.Known && msg.State == ledger.Canceled
	if revoked {
		m.execution, m.reason = retry.NotExecuted, "revoked"
		m.deliveries--
	}
	return m.decide(msg.TimeLeft, revoked)
}

// onLate hedges an idempotent request, at most once.
func (m Model) onLate() (Model, []Cmd) {
	if m.cfg.Once || !m.cfg.Replayable || m.hedged {
		return m, nil
	}
	m.hedged = true
	m.attempts++
	m.deliveries++
	return m, []Cmd{HedgeCmd{}}
}

func (m Model) onNoInstance() (Model, []Cmd) {
	if m.attempts == 1 {
		m.execution, m.reason = retry.NotExecuted, "no instance"
	}
	return m.finish()
}

func (m Model) decide(left time.Duration, free bool) (Model, []Cmd) {
	m.mayHaveRun = m.mayHaveRun || m.execution == retry.Unknown
	if retry.Decide(m.retryAttempt(m.execution, left)).Retry {
		return m.attempt(free)
	}
	return m.finish()
}

// finish reports the result to the caller. It reports "not run" only if that holds
// for every attempt, not just for the last one.
func (m Model) finish() (Model, []Cmd) {
	if m.execution == retry.NotExecuted && m.mayHaveRun {
		m.execution = retry.Unknown
	}
	var cmds []Cmd
	if m.claimed {
		cmds = append(cmds, SettleCmd{Outcome: outcomeOf(m.execution)})
	}
	if m.execution == retry.Executed {
		return m, append(cmds, DeliverCmd{})
	}
	return m, append(cmds, FailCmd{Execution: m.execution, Reason: m.reason})
}

// onStatus tells a slow instance from dead connections and from a network
// partition.
func (m Model) onStatus(msg StatusMsg) []Cmd {
	switch {
	case !msg.Reached && m.cfg.Once:
		return []Cmd{WaitCmd{Unreachable: true, AskSoon: !msg.Acked}}
	case !msg.Reached:
		return []Cmd{AbandonCmd{Reason: _reasonUnreachable, Unreachable: true}}
	case msg.State == ledger.Canceled:
		return []Cmd{AbandonCmd{Reason: _reasonLost, NotRun: true, DeadConns: true}}
	case msg.State == ledger.Absent, msg.State == ledger.Finished:
		return []Cmd{AbandonCmd{Reason: _reasonSilent, DeadConns: true}}
	}
	return []Cmd{WaitCmd{}}
}

func outcomeOf(e retry.Execution) claim.Outcome {
	switch e {
	case retry.Executed:
		return claim.Ran
	case retry.NotExecuted:
		return claim.NotRun
	default:
		return claim.Unclear
	}
}
