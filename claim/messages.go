package claim

import "time"

// Msg is an input to the model.
type Msg interface{ claimMsg() }

// AcquireMsg claims a key for TTL. Digest is a hash of the request, which detects
// the use of a key for different requests.
type AcquireMsg struct {
	Key    string
	Digest uint64
	Holder string
	At     time.Duration
	TTL    time.Duration
}

// SettleMsg reports how the holder's request ended.
type SettleMsg struct {
	Key     string
	Holder  string
	At      time.Duration
	Outcome Outcome
	Answer  Answer
}

// ClockMsg advances the clock, which expires claims and deletes records past
// their retention.
type ClockMsg struct{ At time.Duration }

// BeginSnapshotMsg starts a snapshot of the records, while the model continues to
// accept messages. It has no effect while a snapshot is in progress.
type BeginSnapshotMsg struct{}

// EndSnapshotMsg ends the snapshot. Its records must not be read afterwards.
type EndSnapshotMsg struct{}

func (AcquireMsg) claimMsg()       {}
func (BeginSnapshotMsg) claimMsg() {}
func (EndSnapshotMsg) claimMsg()   {}
func (SettleMsg) claimMsg()        {}
func (ClockMsg) claimMsg()         {}

// Cmd is a result of a message.
type Cmd interface{ claimCmd() }

// GrantedCmd allows the holder to run the request.
type GrantedCmd struct{ Key string }

// HeldCmd reports that the key is already in use, with its state and, once the
// request has run, the stored response.
type HeldCmd struct {
	Key    string
	State  State
	Answer Answer
}

// KeyMismatchCmd reports that the key was used for another request.
type KeyMismatchCmd struct{ Key string }

// SettledCmd reports the state of the key after a SettleMsg. It is Free if the
// key has no record of that holder.
type SettledCmd struct {
	Key   string
	State State
}

// SnapshotCmd returns the records of a snapshot. They may be read, but not
// modified, until an EndSnapshotMsg.
type SnapshotCmd struct{ Records map[string]Record }

func (SnapshotCmd) claimCmd()    {}
func (GrantedCmd) claimCmd()     {}
func (HeldCmd) claimCmd()        {}
func (KeyMismatchCmd) claimCmd() {}
func (SettledCmd) claimCmd()     {}
