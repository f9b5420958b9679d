package raft

// Cmd is an action for the caller. Commands are executed in order.
type Cmd interface{ raftCmd() }

// SaveCmd writes the term, vote and entries and syncs them. Stored entries from
// the index of the first new entry on are replaced.
type SaveCmd struct {
	Term    uint64
	Vote    uint64
	Entries []Entry
}

// SnapshotCmd writes a snapshot, syncs it and deletes the entries that it
// covers. With Reset it deletes all entries.
type SnapshotCmd struct {
	Snapshot Snapshot
	Reset    bool
}

// SendCmd sends a message to another replica. The message may be lost.
type SendCmd struct {
	To   Peer
	Body any
}

// ApplyCmd applies committed entries to the state machine.
type ApplyCmd struct{ Entries []Entry }

// RestoreCmd restores the state machine from a snapshot.
type RestoreCmd struct{ Snapshot Snapshot }

// AcceptedCmd reports the log position of a proposal that was appended but not
// yet committed.
type AcceptedCmd struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// RefusedCmd reports that a proposal or read was rejected and has no effect.
type RefusedCmd struct{ ID uint64 }

// ReadReadyCmd reports that a read may be served once the state machine has
// applied the index.
type ReadReadyCmd struct {
	ID    uint64
	Index uint64
}

// LeaderCmd reports a change of leader; Leader is 0 if there is no known leader.
type LeaderCmd struct {
	Leader uint64
	Term   uint64
}

// SupersededCmd reports that the group was rescued without this replica, which
// must stop.
type SupersededCmd struct{ Lineage uint64 }

func (SaveCmd) raftCmd()       {}
func (SnapshotCmd) raftCmd()   {}
func (SendCmd) raftCmd()       {}
func (ApplyCmd) raftCmd()      {}
func (RestoreCmd) raftCmd()    {}
func (AcceptedCmd) raftCmd()   {}
func (RefusedCmd) raftCmd()    {}
func (ReadReadyCmd) raftCmd()  {}
func (LeaderCmd) raftCmd()     {}
func (SupersededCmd) raftCmd() {}
