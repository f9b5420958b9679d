package probe

import (
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// Msg is a message to the model; At is the time since the process started.
type Msg interface{ probeMsg() }

// NextMsg requests the next step of the search.
type NextMsg struct{ At time.Duration }

// NoCandidateMsg reports that no instance matches the last TryCmd.
type NoCandidateMsg struct {
	At time.Duration
	// Skipped reports whether instances were skipped because they failed recently
	// and their owners would refuse, or because their owners are unreachable.
	Skipped bool
}

// RefusedMsg reports that an owner refused the request, which has not run.
type RefusedMsg struct {
	At     time.Duration
	Key    view.Key
	Reason RefusalReason
	// Mode is the mode of the refused attempt. It may differ from that of the last
	// TryCmd, since another attempt may have started in the meantime.
	Mode AdmissionMode
	// Far reports whether the owner is in another data centre.
	Far bool
}

// SentMsg reports that the request reached an instance or may have reached it.
type SentMsg struct{ Key view.Key }

func (NextMsg) probeMsg()        {}
func (NoCandidateMsg) probeMsg() {}
func (RefusedMsg) probeMsg()     {}
func (SentMsg) probeMsg()        {}

// RefusalReason tells why an owner refused a request.
type RefusalReason uint8

const (
	// NotAccepting means that the instance accepts no new requests.
	NotAccepting RefusalReason = iota
	// Full means that no slot is free, or that the wait would be too long.
	Full
	// RecentFailures means that the instance has failed recently.
	RecentFailures
	// WaitExpired means that no slot became free within MaxWait.
	WaitExpired
	// BudgetExhausted means that the service's retry budget is used up.
	BudgetExhausted
	// OwnerRestarted means that the owner has restarted and may be tried again.
	OwnerRestarted
	// UnknownInstance means that the owner does not know the instance; the owner
	// may have just started.
	UnknownInstance
	// Unreached means that the attempt did not reach the instance: its owner could not be
	// reached, or the attempt was revoked because it was not acknowledged in time.
	Unreached
)

// Cmd is the next step of the search.
type Cmd interface{ probeCmd() }

// TryCmd sends the request to an instance that is not in Exclude.
type TryCmd struct {
	Mode    AdmissionMode
	Exclude []view.Key
	// MaxWait is the longest time to wait at this owner, and WaitLeft at all owners
	// together from now on.
	MaxWait, WaitLeft time.Duration
}

// PauseCmd waits before the next try.
type PauseCmd struct{ Delay time.Duration }

// StopCmd ends the search without an instance.
type StopCmd struct{}

func (TryCmd) probeCmd()   {}
func (PauseCmd) probeCmd() {}
func (StopCmd) probeCmd()  {}

// AdmissionMode is the condition under which an owner may admit a request.
type AdmissionMode string

const (
	// AdmitIfFree admits the request only if an instance without recent
	// failures has a free slot.
	AdmitIfFree AdmissionMode = "glance"
	// AdmitQueued lets the request wait for a slot of an instance without recent
	// failures.
	AdmitQueued AdmissionMode = "wait"
	// AdmitAny lets the request wait for a slot of any instance.
	AdmitAny AdmissionMode = "insist"
)
