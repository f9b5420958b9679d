package call

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
)

// Msg is a message to the model of a request.
type Msg interface{ callMsg() }

// BeginMsg starts the request.
type BeginMsg struct{}

// ClaimedMsg reports the result of the claim; State is that of a held key.
type ClaimedMsg struct {
	Claim ClaimResult
	State claim.State
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult uint8

const (
	// ClaimFailed means that no response came; the key may have been claimed.
	ClaimFailed ClaimResult = iota
	// ClaimGranted means that the request may run.
	ClaimGranted
	// ClaimHeld means that the key had been claimed before.
	ClaimHeld
	// ClaimMismatch means that the key belongs to another request.
	ClaimMismatch
)

// ResponseMsg reports the response to an attempt. Free says that the attempt
// reached no instance, so that a retry takes nothing from the budget; TimeLeft is
// the time until the deadline.
type ResponseMsg struct {
	Execution retry.Execution
	Reason    string
	Free      bool
	// Resent says that the transport sent the attempt more than once: an owner
	// that refused one copy may have restarted after it ran another.
	Resent bool
	// Failed says that the response is a failure of the instance.
	Failed   bool
	TimeLeft time.Duration
}

// LostMsg reports that an attempt ended without a response; Sent says that any
// part of it may have left this process.
type LostMsg struct {
	Sent     bool
	Reason   string
	TimeLeft time.Duration
}

// LateMsg reports that the response to the running attempt is late.
type LateMsg struct{}

// RevokeResultMsg is the answer to a RevokeCmd: the owner's state of the attempt.
// Known is false if the owner did not answer.
type RevokeResultMsg struct {
	Known    bool
	State    ledger.State
	TimeLeft time.Duration
}

// NoInstanceMsg reports that no instance is left to try.
type NoInstanceMsg struct{}

// NoBudgetMsg reports that the retry budget is exhausted.
type NoBudgetMsg struct{}

// StatusMsg is the owner's state of an attempt that has no response yet; Reached
// is false if the owner did not answer.
type StatusMsg struct {
	Reached bool
	State   ledger.State
	// Acked says that the owner has acknowledged the attempt.
	Acked bool
}

func (BeginMsg) callMsg()        {}
func (LateMsg) callMsg()         {}
func (ClaimedMsg) callMsg()      {}
func (ResponseMsg) callMsg()     {}
func (LostMsg) callMsg()         {}
func (RevokeResultMsg) callMsg() {}
func (NoInstanceMsg) callMsg()   {}
func (NoBudgetMsg) callMsg()     {}
func (StatusMsg) callMsg()       {}

// Cmd is an effect that the request needs.
type Cmd interface{ callCmd() }

// ClaimCmd claims the idempotency key.
type ClaimCmd struct{ Key string }

// AttemptCmd picks an instance and sends the request. A Retry takes from the retry
// budget unless it is Free.
type AttemptCmd struct {
	Retry bool
	Free  bool
}

// HedgeCmd sends the request to a second instance as well, if the retry budget
// allows it.
type HedgeCmd struct{}

// RevokeCmd asks the owner for the state of the last attempt and keeps it from
// starting, if it has not started yet.
type RevokeCmd struct{}

// AbandonCmd ends an attempt that will get no response.
type AbandonCmd struct {
	Reason string
	// NotRun says that the owner has not run the attempt and never will.
	NotRun bool
	// DeadConns says that the existing connections to the owner are dead.
	DeadConns bool
	// Unreachable says that the owner cannot be reached.
	Unreachable bool
}

// WaitCmd keeps waiting for the response to the attempt; Unreachable is as in
// AbandonCmd.
type WaitCmd struct {
	Unreachable bool
	// AskSoon says that the owner should be asked again soon, as it may not have
	// received the attempt.
	AskSoon bool
}

// SettleCmd settles the claim with the request's outcome; if that is Ran, the
// response is stored with it.
type SettleCmd struct{ Outcome claim.Outcome }

// DeliverCmd forwards the response of the last attempt to the caller.
type DeliverCmd struct{}

// FailCmd reports to the caller that the request was not run or may have run.
type FailCmd struct {
	Execution retry.Execution
	Reason    string
}

// DuplicateCmd answers a request whose key was claimed before.
type DuplicateCmd struct{ State claim.State }

// KeyMismatchCmd rejects a request whose key belongs to a different request.
type KeyMismatchCmd struct{}

func (ClaimCmd) callCmd()       {}
func (HedgeCmd) callCmd()       {}
func (AttemptCmd) callCmd()     {}
func (RevokeCmd) callCmd()      {}
func (AbandonCmd) callCmd()     {}
func (WaitCmd) callCmd()        {}
func (SettleCmd) callCmd()      {}
func (DeliverCmd) callCmd()     {}
func (FailCmd) callCmd()        {}
func (DuplicateCmd) callCmd()   {}
func (KeyMismatchCmd) callCmd() {}
