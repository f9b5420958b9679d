package raft

// Vote requests a vote, or with Pre a pre-vote. Force makes replicas with an
// active leader consider it too.
type Vote struct {
	Term      uint64 `json:"term"`
	LastIndex uint64 `json:"index"`
	LastTerm  uint64 `json:"last"`
	Pre       bool   `json:"pre,omitempty"`
	Force     bool   `json:"force,omitempty"`
}

// VoteReply answers a Vote.
type VoteReply struct {
	Term    uint64 `json:"term"`
	Granted bool   `json:"granted,omitempty"`
	Pre     bool   `json:"pre,omitempty"`
}

// Append replicates entries and serves as a heartbeat. Round identifies the
// broadcast, so that replies can confirm reads.
type Append struct {
	Term      uint64  `cbor:"1,keyasint"`
	PrevIndex uint64  `cbor:"2,keyasint"`
	PrevTerm  uint64  `cbor:"3,keyasint"`
	Commit    uint64  `cbor:"4,keyasint"`
	Round     uint64  `cbor:"5,keyasint"`
	Entries   []Entry `cbor:"6,keyasint,omitempty"`
}

// AppendReply reports the index up to which the follower's log matches the
// leader's.
type AppendReply struct {
	Term  uint64 `cbor:"1,keyasint"`
	Match uint64 `cbor:"2,keyasint"`
	Round uint64 `cbor:"3,keyasint"`
	OK    bool   `cbor:"4,keyasint,omitempty"`
}

// Install replaces a follower's log with a snapshot.
type Install struct {
	Term     uint64   `json:"term"`
	Round    uint64   `json:"round"`
	Snapshot Snapshot `json:"snapshot"`
}

// Elect tells a follower to start an election immediately.
type Elect struct {
	Term uint64 `json:"term"`
}

// Superseded tells a replica that its group was rescued without it.
type Superseded struct {
	Lineage uint64 `json:"lineage"`
}

// Envelope is a message body with its sender, receiver and replication group.
type Envelope struct {
	Group uint32 `cbor:"1,keyasint"`
	From  uint64 `cbor:"2,keyasint"`
	Name  string `cbor:"3,keyasint"`
	// Addr is where the sender is reached. Replies go there as long as the receiver's
	// peer list does not contain the sender.
	Addr string `cbor:"4,keyasint,omitempty"`
	To   uint64 `cbor:"5,keyasint"`
	Body any    `cbor:"6,keyasint"`
	// Lineage is the lineage of the sender.
	Lineage uint64 `cbor:"7,keyasint,omitempty"`
}

// Message returns the envelope as a message to its receiver.
func (e Envelope) Message() ReceiveMsg {
	return ReceiveMsg{From: e.From, Name: e.Name, Addr: e.Addr, Lineage: e.Lineage, Body: e.Body}
}

// Types lists the message types in the order of their wire numbers.
func Types() []any {
	return []any{Envelope{}, Vote{}, VoteReply{}, Append{}, AppendReply{}, Install{}, Elect{}, Superseded{}}
}
