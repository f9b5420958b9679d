package raft

import "time"

// Msg is an input to the model.
type Msg interface{ raftMsg() }

// TickMsg advances the model's clock to the time since the process started.
type TickMsg struct{ At time.Duration }

// ClockMsg advances the clock without acting on it, for the messages that have waited until
// then. A TickMsg follows them.
type ClockMsg struct{ At time.Duration }

// ReceiveMsg is a message from another replica.
type ReceiveMsg struct {
	From uint64
	// Name and Addr are the sender's name and address, used to address it while no peer
	// list contains it.
	Name    string
	Addr    string
	Lineage uint64
	Body    any
}

// ProposeMsg proposes data for the log.
type ProposeMsg struct {
	Proposals []Proposal
}

// Proposal is the data of one entry with an ID chosen by the caller.
type Proposal struct {
	ID   uint64
	Data []byte
}

// ReadMsg requests a linearizable read, which a ReadReadyCmd confirms.
type ReadMsg struct{ ID uint64 }

// SavedMsg reports, with Config.Async, that the log is synced up to an entry.
type SavedMsg struct {
	Index uint64
	Term  uint64
}

// CompactMsg replaces the log up to an index with a snapshot of the state.
type CompactMsg struct {
	Index uint64
	Data  []byte
}

// BootstrapMsg makes an empty replica the first voter of a new group.
type BootstrapMsg struct{ Peer Peer }

// AddPeerMsg adds a replica as a learner, which is promoted to voter once it has
// caught up unless it is an observer.
type AddPeerMsg struct{ Peer Peer }

// RemovePeerMsg removes the replica with the ID.
type RemovePeerMsg struct{ ID uint64 }

// TransferMsg makes the leader transfer its leadership before a planned stop.
type TransferMsg struct{}

func (TickMsg) raftMsg()       {}
func (ClockMsg) raftMsg()      {}
func (ReceiveMsg) raftMsg()    {}
func (ProposeMsg) raftMsg()    {}
func (ReadMsg) raftMsg()       {}
func (SavedMsg) raftMsg()      {}
func (CompactMsg) raftMsg()    {}
func (BootstrapMsg) raftMsg()  {}
func (AddPeerMsg) raftMsg()    {}
func (RemovePeerMsg) raftMsg() {}
func (TransferMsg) raftMsg()   {}
