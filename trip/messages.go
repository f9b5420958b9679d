package trip

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
)

// Msg is a message to a request's model.
type Msg interface{ tripMsg() }

// BeginMsg starts the request.
type BeginMsg struct{}

// ClaimedMsg says what became of the claim.
type ClaimedMsg struct {
	Claim Claim
	State claim.State
}

// Claim is the answer to a claim.
type Claim uint8

const (
	// Failed means that no answer came; the key may have been claimed.
	Failed Claim = iota
	// Granted means that the request may run.
	Granted
	// Held means that the key was claimed before.
	Held
	// Mismatch means that the key belongs to another request.
	Mismatch
)

// AnswerMsg says that an attempt was answered; Free says that it reached no
// instance, so that another one costs no budget.
type AnswerMsg struct {
	Fate   retry.Execution
	Reason string
	Free   bool
	// Doubled says that the transport sent the attempt more than once: an
	// owner that refused one copy may have restarted after it ran another.
	Doubled bool
	// Failed says that the answer is a failure of the instance.
	Failed bool
	Left   time.Duration
}

// LostMsg says that an attempt ended without an answer; Sent says that any of
// it may have left this process.
type LostMsg struct {
	Sent   bool
	Reason string
	Left   time.Duration
}

// LateMsg says that the running attempt's answer is late.
type LateMsg struct{}

// FateMsg is the owner's word on an attempt after it was revoked; Known is
// false when none came.
type FateMsg struct {
	Known bool
	State ledger.State
	Left  time.Duration
}

// NoneMsg says that there is no instance to try.
type NoneMsg struct{ Left time.Duration }

// DeniedMsg says that the budget allows no retry.
type DeniedMsg struct{}

// QuietMsg is the owner's word on an attempt that stays without an answer;
// Reached is false when none came.
type QuietMsg struct {
	Reached bool
	State   ledger.State
	// Acked says that the owner has acknowledged the attempt.
	Acked bool
}

func (BeginMsg) tripMsg()   {}
func (LateMsg) tripMsg()    {}
func (ClaimedMsg) tripMsg() {}
func (AnswerMsg) tripMsg()  {}
func (LostMsg) tripMsg()    {}
func (FateMsg) tripMsg()    {}
func (NoneMsg) tripMsg()    {}
func (DeniedMsg) tripMsg()  {}
func (QuietMsg) tripMsg()   {}

// Cmd is what the request needs done.
type Cmd interface{ tripCmd() }

// ClaimCmd claims the idempotency key.
type ClaimCmd struct{ Key string }

// AttemptCmd chooses an instance and sends the request; a Retry needs the
// budget's leave unless it is Free.
type AttemptCmd struct {
	Retry bool
	Free  bool
}

// HedgeCmd sends the request to another instance as well, if the budget allows
// it.
type HedgeCmd struct{}

// RevokeCmd asks the owner what became of the last attempt, and forbids it.
type RevokeCmd struct{}

// GiveUpCmd ends an attempt whose connection is dead.
type GiveUpCmd struct {
	Reason string
	// Unrun says that the owner never had the attempt and never will.
	Unrun bool
	// Doubt says that all old connections to the owner are dead.
	Doubt bool
	// Block says that the owner cannot be reached.
	Block bool
}

// WaitCmd goes on waiting for the attempt's answer.
type WaitCmd struct {
	Block bool
	// Soon says that the owner should be asked again soon, as it may never have
	// got the attempt.
	Soon bool
}

// SettleCmd settles the claim; with Ran, the answer goes along.
type SettleCmd struct{ Outcome claim.Outcome }

// DeliverCmd passes the last attempt's answer to the caller.
type DeliverCmd struct{}

// TellCmd tells the caller that the request was not run or may have run.
type TellCmd struct {
	Fate   retry.Execution
	Reason string
}

// RepeatCmd answers a repeat of a key.
type RepeatCmd struct{ State claim.State }

// ForbidCmd tells the caller that the key belongs to another request.
type ForbidCmd struct{}

func (ClaimCmd) tripCmd()   {}
func (HedgeCmd) tripCmd()   {}
func (AttemptCmd) tripCmd() {}
func (RevokeCmd) tripCmd()  {}
func (GiveUpCmd) tripCmd()  {}
func (WaitCmd) tripCmd()    {}
func (SettleCmd) tripCmd()  {}
func (DeliverCmd) tripCmd() {}
func (TellCmd) tripCmd()    {}
func (RepeatCmd) tripCmd()  {}
func (ForbidCmd) tripCmd()  {}
