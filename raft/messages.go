package raft

import "time"

// Msg is a message to a replica.
type Msg interface{ raftMsg() }

// TickMsg tells the time since the process started.
type TickMsg struct{ At time.Duration }

// ReceiveMsg is a message from another replica.
type ReceiveMsg struct {
	From uint64
	// Name is the sender's; it is reached by it while no list of peers holds it.
	Name    string
	Lineage uint64
	Body    any
}

// ProposeMsg asks to append data to the log.
type ProposeMsg struct {
	Proposals []Proposal
}

// Proposal is one piece of data with its caller's number.
type Proposal struct {
	ID   uint64
	Data []byte
}

// ReadMsg asks when the state is current; the answer is a ReadyCmd.
type ReadMsg struct{ ID uint64 }

// CompactMsg replaces the log up to an index by a snapshot of the state.
type CompactMsg struct {
	Index uint64
	Data  []byte
}

// FoundMsg makes a blank replica the first voter of a new group.
type FoundMsg struct{ Peer Peer }

// JoinMsg asks to add a replica, as a learner first.
type JoinMsg struct{ Peer Peer }

// LeaveMsg asks to remove the replica with the ID.
type LeaveMsg struct{ ID uint64 }

// TransferMsg asks the leader to hand over before a planned stop.
type TransferMsg struct{}

func (TickMsg) raftMsg()     {}
func (ReceiveMsg) raftMsg()  {}
func (ProposeMsg) raftMsg()  {}
func (ReadMsg) raftMsg()     {}
func (CompactMsg) raftMsg()  {}
func (FoundMsg) raftMsg()    {}
func (JoinMsg) raftMsg()     {}
func (LeaveMsg) raftMsg()    {}
func (TransferMsg) raftMsg() {}
