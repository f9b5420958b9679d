package raft

// Cmd is work for the runtime, to be done in order.
type Cmd interface{ raftCmd() }

// SaveCmd writes the term, the vote and entries, and syncs; entries at and
// after the first one's index are replaced.
type SaveCmd struct {
	Term    uint64
	Vote    uint64
	Entries []Entry
}

// SnapshotCmd writes a snapshot, syncs, and drops the entries up to it; Reset
// drops all the others too.
type SnapshotCmd struct {
	Snapshot Snapshot
	Reset    bool
}

// SendCmd sends a message to another replica; it may be lost.
type SendCmd struct {
	To   Peer
	Body any
}

// ApplyCmd hands committed entries to the state machine.
type ApplyCmd struct{ Entries []Entry }

// RestoreCmd replaces the state machine's state.
type RestoreCmd struct{ Snapshot Snapshot }

// AcceptedCmd tells where a proposal stands in the log.
type AcceptedCmd struct {
	ID    uint64
	Index uint64
	Term  uint64
}

// RefusedCmd says that a proposal or read was not taken; it has no effect.
type RefusedCmd struct{ ID uint64 }

// ReadyCmd says that a read may be answered from the state at the index.
type ReadyCmd struct {
	ID    uint64
	Index uint64
}

// LeaderCmd tells who leads, 0 when nobody is known to.
type LeaderCmd struct {
	Leader uint64
	Term   uint64
}

// SupersededCmd says that the group was rescued without this replica, which
// must not go on.
type SupersededCmd struct{ Lineage uint64 }

func (SaveCmd) raftCmd()       {}
func (SnapshotCmd) raftCmd()   {}
func (SendCmd) raftCmd()       {}
func (ApplyCmd) raftCmd()      {}
func (RestoreCmd) raftCmd()    {}
func (AcceptedCmd) raftCmd()   {}
func (RefusedCmd) raftCmd()    {}
func (ReadyCmd) raftCmd()      {}
func (LeaderCmd) raftCmd()     {}
func (SupersededCmd) raftCmd() {}
