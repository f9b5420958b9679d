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
	// Attempts is the maximum number of instances that may get the request, 0
	// for the default.
	Attempts int
}

// Model is the state of one request; one loop owns it.
type Model struct {
	cfg        Config
	claimed    bool
	mayHaveRun bool // an earlier attempt may have run
	hedged     bool
	tries      int
	arrived    int // attempts that may have reached an instance
	fate       retry.Execution
	reason     string
}

// New returns the model of a request that has not started.
func New(cfg Config) Model {
	return Model{cfg: cfg}
}

// Tries returns the number of attempts so far.
func (m Model) Tries() int {
	return m.tries
}

// Arrived returns how many attempts may have reached an instance.
func (m Model) Arrived() int {
	return m.arrived
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
	m.tries++
	return m, []Cmd{AttemptCmd{Retry: m.tries > 1, Free: free}}
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
			FailCmd{Fate: retry.NotExecuted, Reason: "the key could not be claimed"},
			SettleCmd{Outcome: claim.NotRun},
		}
	}
}

func (m Model) onResponse(msg ResponseMsg) (Model, []Cmd) {
	m.fate, m.reason = msg.Fate, msg.Reason
	if msg.Fate == retry.NotExecuted && msg.Resent {
		m.fate = retry.Unknown
	}
	if !msg.Free {
		m.arrived++
	}
	switch {
	case msg.Fate != retry.Executed:
		return m.decide(msg.Left, msg.Free)
	case msg.Failed && m.mayRetry(msg.Left):
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

func (m Model) retryAttempt(fate retry.Execution, left time.Duration) retry.Attempt {
	return retry.Attempt{
		Execution:     fate,
		Once:          m.cfg.Once,
		Replayable:    m.cfg.Replayable,
		Attempts:      m.tries,
		Deliveries:    m.arrived,
		MaxDeliveries: m.cfg.Attempts,
		TimeLeft:      left,
	}
}

func (m Model) onLost(msg LostMsg) (Model, []Cmd) {
	m.fate, m.reason = retry.Unknown, msg.Reason
	if !msg.Sent {
		m.fate = retry.NotExecuted
		return m.decide(msg.Left, true)
	}
	m.arrived++
	if m.cfg.Once && msg.Left > 0 {
		return m, []Cmd{RevokeCmd{}}
	}
	return m.decide(msg.Left, false)
}

func (m Model) onRevokeResult(msg RevokeResultMsg) (Model, []Cmd) {
	revoked := msg.Known && msg.State == ledger.Canceled
	if revoked {
		m.fate, m.reason = retry.NotExecuted, "revoked"
		m.arrived--
	}
	return m.decide(msg.Left, revoked)
}

// onLate hedges an idempotent request, at most once.
func (m Model) onLate() (Model, []Cmd) {
	if m.cfg.Once || !m.cfg.Replayable || m.hedged {
		return m, nil
	}
	m.hedged = true
	m.tries++
	m.arrived++
	return m, []Cmd{HedgeCmd{}}
}

func (m Model) onNoInstance() (Model, []Cmd) {
	if m.tries == 1 {
		m.fate, m.reason = retry.NotExecuted, "no instance"
	}
	return m.finish()
}

func (m Model) decide(left time.Duration, free bool) (Model, []Cmd) {
	m.mayHaveRun = m.mayHaveRun || m.fate == retry.Unknown
	if retry.Decide(m.retryAttempt(m.fate, left)).Retry {
		return m.attempt(free)
	}
	return m.finish()
}

// finish reports the result to the caller. It reports "not run" only if that holds
// for every attempt, not just for the last one.
func (m Model) finish() (Model, []Cmd) {
	if m.fate == retry.NotExecuted && m.mayHaveRun {
		m.fate = retry.Unknown
	}
	var cmds []Cmd
	if m.claimed {
		cmds = append(cmds, SettleCmd{Outcome: outcomeOf(m.fate)})
	}
	if m.fate == retry.Executed {
		return m, append(cmds, DeliverCmd{})
	}
	return m, append(cmds, FailCmd{Fate: m.fate, Reason: m.reason})
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

func outcomeOf(f retry.Execution) claim.Outcome {
	switch f {
	case retry.Executed:
		return claim.Ran
	case retry.NotExecuted:
		return claim.NotRun
	default:
		return claim.Unclear
	}
}
