package trip

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
)

const (
	_reasonSilent = "connection silent"
	_reasonCut    = "owner unreachable"
	_reasonLost   = "lost on the way"
)

// Config is what is known of a request when it comes.
type Config struct {
	// Once marks a request that is not idempotent.
	Once bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Replayable says that the body can be sent again.
	Replayable bool
	// Attempts is the greatest number of instances that may get the request, 0
	// for the default.
	Attempts int
}

// Model is one request's course; one loop owns it.
type Model struct {
	cfg     Config
	claimed bool
	unsure  bool // an earlier attempt may have run
	hedged  bool
	tries   int
	arrived int // attempts that may have reached an instance
	fate    retry.Execution
	reason  string
}

// New returns the model of a request that has not begun.
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

// Update folds one message in and returns what follows from it.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case BeginMsg:
		return m.begin()
	case ClaimedMsg:
		return m.onClaimed(msg)
	case AnswerMsg:
		return m.onAnswer(msg)
	case LostMsg:
		return m.onLost(msg)
	case FateMsg:
		return m.onFate(msg)
	case LateMsg:
		return m.late()
	case NoneMsg:
		return m.none()
	case DeniedMsg:
		return m.finish()
	case QuietMsg:
		return m, m.onQuiet(msg)
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
	case Granted:
		m.claimed = true
		return m.attempt(false)
	case Held:
		return m, []Cmd{RepeatCmd{State: msg.State}}
	case Mismatch:
		return m, []Cmd{ForbidCmd{}}
	default:
		// The key may be claimed all the same; nothing ran under it here.
		return m, []Cmd{
			TellCmd{Fate: retry.NotExecuted, Reason: "the key could not be claimed"},
			SettleCmd{Outcome: claim.NotRun},
		}
	}
}

func (m Model) onAnswer(msg AnswerMsg) (Model, []Cmd) {
	m.fate, m.reason = msg.Fate, msg.Reason
	if msg.Fate == retry.NotExecuted && msg.Doubled {
		m.fate = retry.Unknown
	}
	if !msg.Free {
		m.arrived++
	}
	switch {
	case msg.Fate != retry.Executed:
		return m.decide(msg.Left, msg.Free)
	case msg.Failed && m.mayRepeat(msg.Left):
		m.unsure = true
		return m.attempt(false)
	}
	return m.finish()
}

// mayRepeat reports whether a request whose attempt ran and failed may run on
// another instance.
func (m Model) mayRepeat(left time.Duration) bool {
	return !m.cfg.Once && retry.Decide(m.describe(retry.Unknown, left)).Retry
}

func (m Model) describe(fate retry.Execution, left time.Duration) retry.Attempt {
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

func (m Model) onFate(msg FateMsg) (Model, []Cmd) {
	revoked := msg.Known && msg.State == ledger.Dead
	if revoked {
		m.fate, m.reason = retry.NotExecuted, "revoked"
		m.arrived--
	}
	return m.decide(msg.Left, revoked)
}

// late sends an idempotent request a second time, once.
func (m Model) late() (Model, []Cmd) {
	if m.cfg.Once || !m.cfg.Replayable || m.hedged {
		return m, nil
	}
	m.hedged = true
	m.tries++
	m.arrived++
	return m, []Cmd{HedgeCmd{}}
}

func (m Model) none() (Model, []Cmd) {
	if m.tries == 1 {
		m.fate, m.reason = retry.NotExecuted, "no instance"
	}
	return m.finish()
}

func (m Model) decide(left time.Duration, free bool) (Model, []Cmd) {
	m.unsure = m.unsure || m.fate == retry.Unknown
	if retry.Decide(m.describe(m.fate, left)).Retry {
		return m.attempt(free)
	}
	return m.finish()
}

// finish tells the caller; "not run" holds for every attempt, not the last.
func (m Model) finish() (Model, []Cmd) {
	if m.fate == retry.NotExecuted && m.unsure {
		m.fate = retry.Unknown
	}
	var cmds []Cmd
	if m.claimed {
		cmds = append(cmds, SettleCmd{Outcome: outcomeOf(m.fate)})
	}
	if m.fate == retry.Executed {
		return m, append(cmds, DeliverCmd{})
	}
	return m, append(cmds, TellCmd{Fate: m.fate, Reason: m.reason})
}

// onQuiet tells a slow instance from dead connections and from a cut path.
func (m Model) onQuiet(msg QuietMsg) []Cmd {
	switch {
	case !msg.Reached && m.cfg.Once:
		return []Cmd{WaitCmd{Block: true, Soon: !msg.Acked}}
	case !msg.Reached:
		return []Cmd{GiveUpCmd{Reason: _reasonCut, Block: true}}
	case msg.State == ledger.Dead:
		return []Cmd{GiveUpCmd{Reason: _reasonLost, Unrun: true, Doubt: true}}
	case msg.State == ledger.Absent, msg.State == ledger.Finished:
		return []Cmd{GiveUpCmd{Reason: _reasonSilent, Doubt: true}}
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
