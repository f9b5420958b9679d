package claim

import "time"

// Msg is a message to the claims.
type Msg interface{ claimMsg() }

// TakeMsg asks to run a key's request once; Digest is of the request.
type TakeMsg struct {
	Key    string
	Digest uint64
	Holder string
	At     time.Duration
	TTL    time.Duration
}

// SettleMsg says how the holder's request ended.
type SettleMsg struct {
	Key     string
	Holder  string
	At      time.Duration
	Outcome Outcome
	Answer  Answer
}

// ClockMsg lets claims run out and forgets old ones.
type ClockMsg struct{ At time.Duration }

// FreezeMsg lets the records stand still for a snapshot, while claims go on;
// it does nothing while they stand still already.
type FreezeMsg struct{}

// ThawMsg ends a FreezeMsg: nobody reads the records any more.
type ThawMsg struct{}

func (TakeMsg) claimMsg()   {}
func (FreezeMsg) claimMsg() {}
func (ThawMsg) claimMsg()   {}
func (SettleMsg) claimMsg() {}
func (ClockMsg) claimMsg()  {}

// Cmd is what the claims decided.
type Cmd interface{ claimCmd() }

// GrantedCmd lets the holder run the request.
type GrantedCmd struct{ Key string }

// HeldCmd says that the key is taken, by what and with which answer.
type HeldCmd struct {
	Key    string
	State  State
	Answer Answer
}

// MismatchCmd says that the key was used for another request.
type MismatchCmd struct{ Key string }

// SettledCmd says what is now known of the key.
type SettledCmd struct {
	Key   string
	State State
}

// FrozenCmd hands out the records, to be read and not changed until a ThawMsg.
type FrozenCmd struct{ Records map[string]Record }

func (FrozenCmd) claimCmd()   {}
func (GrantedCmd) claimCmd()  {}
func (HeldCmd) claimCmd()     {}
func (MismatchCmd) claimCmd() {}
func (SettledCmd) claimCmd()  {}
