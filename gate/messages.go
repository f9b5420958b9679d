package gate

import (
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// Reason says why an attempt was refused; a refused attempt never runs.
type Reason string

const (
	// UnknownInstance means that the node has no such instance.
	UnknownInstance Reason = "instance"
	// Leaving means that the instance is shutting down and takes no new work.
	Leaving Reason = "leaving"
	// Ejected means that the instance is out of service.
	Ejected Reason = "ejected"
	// Full means that no slot is free and the attempt cannot wait: the queue is full,
	// the wait would be too long, or NoQueue is set.
	Full Reason = "full"
	// Limited means that the instance gets requests at the rate that it has named as its
	// limit, and that the attempt cannot wait.
	Limited Reason = "limited"
	// Expired means that the attempt could not start in time.
	Expired Reason = "late"
	// RecentFailures means that the instance's circuit breaker is open.
	RecentFailures Reason = "failed lately"
	// Revoked means that the ingress revoked the attempt.
	Revoked Reason = "revoked"
)

// Msg is a message to the gate; At is the time since the process started.
type Msg interface{ gateMsg() }

// RegisterMsg adds an instance or changes its limits.
type RegisterMsg struct {
	ID     string
	Limits Limits
	At     time.Duration
}

// LeaveMsg drains an instance: it takes no new work from Until on.
type LeaveMsg struct {
	ID    string
	Until time.Duration
}

// RemoveMsg removes an instance.
type RemoveMsg struct {
	ID string
	At time.Duration
}

// EjectMsg takes an instance out of service until the given time.
type EjectMsg struct {
	ID    string
	Until time.Duration
}

// RestoreMsg returns an ejected instance to service with slow start.
type RestoreMsg struct {
	ID string
	At time.Duration
}

// AdmitMsg requests a slot for an attempt, which is refused unless it can start
// before StartBy.
type AdmitMsg struct {
	ID     string
	Ref    ledger.Ref
	Caller string
	// Customer is who shares the slots of a priority fairly with others, if known.
	Customer string
	At       time.Duration
	StartBy  time.Duration
	// LatestStart is the last time at which the attempt is worth starting, here
	// or on another instance, 0 for StartBy.
	LatestStart time.Duration
	// NoQueue refuses the attempt at once if no slot is free.
	NoQueue bool
	// Priority orders the queue; 0 goes first. TargetStart is the latest start
	// that still meets the latency target, or 0 for none.
	Priority    int
	TargetStart time.Duration
	// NoProbe keeps the attempt from probing an instance whose breaker is open;
	// BypassBreaker starts it regardless of the breaker.
	NoProbe, BypassBreaker bool
	// Nested marks a call made by a request that holds a slot elsewhere: it goes
	// first within its priority and is worth starting past its target, too.
	Nested bool
}

// BreakerMsg opens the circuit breaker of an instance until a time, or closes it
// if that time has passed. Queued attempts do not start meanwhile, except one
// probe from ProbeAt on; RefuseQueued refuses those without BypassBreaker.
type BreakerMsg struct {
	ID             string
	ProbeAt, Until time.Duration
	RefuseQueued   bool
	At             time.Duration
}

// MaxRateMsg limits how many attempts an instance gets per second; 0 removes the limit.
type MaxRateMsg struct {
	ID        string
	PerSecond float64
	At        time.Duration
}

// DoneMsg reports that a started attempt has ended.
type DoneMsg struct {
	ID  string
	Ref ledger.Ref
	At  time.Duration
}

// RevokeMsg keeps an attempt from starting, if it has not started yet.
type RevokeMsg struct {
	ID  string
	Ref ledger.Ref
	At  time.Duration
}

// ClockMsg refuses queued attempts that have expired and starts those that can
// start now.
type ClockMsg struct{ At time.Duration }

func (RegisterMsg) gateMsg() {}
func (LeaveMsg) gateMsg()    {}
func (RemoveMsg) gateMsg()   {}
func (EjectMsg) gateMsg()    {}
func (RestoreMsg) gateMsg()  {}
func (AdmitMsg) gateMsg()    {}
func (BreakerMsg) gateMsg()  {}
func (MaxRateMsg) gateMsg()  {}
func (DoneMsg) gateMsg()     {}
func (RevokeMsg) gateMsg()   {}
func (ClockMsg) gateMsg()    {}

// Cmd is a decision of the gate.
type Cmd interface{ gateCmd() }

// StartCmd runs an attempt now; the ledger has it as started.
type StartCmd struct{ Ref ledger.Ref }

// RefuseCmd refuses an attempt: it has not run and never will.
type RefuseCmd struct {
	Ref    ledger.Ref
	Reason Reason
}

// DuplicateCmd reports that an attempt was received before and may have started.
type DuplicateCmd struct {
	Ref   ledger.Ref
	State ledger.State
}

// RevokeResultCmd answers a RevokeMsg.
type RevokeResultCmd struct {
	Ref   ledger.Ref
	State ledger.State
}

func (StartCmd) gateCmd()        {}
func (RefuseCmd) gateCmd()       {}
func (DuplicateCmd) gateCmd()    {}
func (RevokeResultCmd) gateCmd() {}
