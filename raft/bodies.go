package raft

// Vote asks for a vote, or with Pre whether one would be given.
type Vote struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
	Last  uint64 `json:"last"`
	Pre   bool   `json:"pre,omitempty"`
	Force bool   `json:"force,omitempty"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Term    uint64 `json:"term"`
	Granted bool   `json:"granted,omitempty"`
	Pre     bool   `json:"pre,omitempty"`
}

// Append replicates entries; Round numbers it for reads.
type Append struct {
	Term    uint64  `json:"term"`
	Prev    uint64  `json:"prev"`
	Last    uint64  `json:"last"`
	Commit  uint64  `json:"commit"`
	Round   uint64  `json:"round"`
	Entries []Entry `json:"entries,omitempty"`
}

// AppendReply says up to where the follower's log matches the leader's.
type AppendReply struct {
	Term  uint64 `json:"term"`
	Match uint64 `json:"match"`
	Round uint64 `json:"round"`
	OK    bool   `json:"ok,omitempty"`
}

// Install replaces a follower's log by a snapshot.
type Install struct {
	Term     uint64   `json:"term"`
	Round    uint64   `json:"round"`
	Snapshot Snapshot `json:"snapshot"`
}

// Elect tells a follower to stand for election at once.
type Elect struct {
	Term uint64 `json:"term"`
}

// Superseded answers a replica whose group was rescued without it.
type Superseded struct {
	Lineage uint64 `json:"lineage"`
}

// Envelope is a body with its sender and its replication group.
type Envelope struct {
	Group uint32 `json:"group"`
	From  uint64 `json:"from"`
	Name  string `json:"name"`
	To    uint64 `json:"to"`
	Body  any    `json:"body"`
	// Lineage is the sender's.
	Lineage uint64 `json:"lineage,omitempty"`
}

// Message returns the message to the replica that the envelope is for.
func (e Envelope) Message() ReceiveMsg {
	return ReceiveMsg{From: e.From, Name: e.Name, Lineage: e.Lineage, Body: e.Body}
}

// Types lists the bodies in the order of the format.
func Types() []any {
	return []any{Envelope{}, Vote{}, VoteReply{}, Append{}, AppendReply{}, Install{}, Elect{}, Superseded{}}
}
