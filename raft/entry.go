package raft

// Kind says what an entry carries.
type Kind uint8

const (
	// Normal entries carry the state machine's data.
	Normal Kind = iota
	// Empty entries open a leader's term.
	Empty
	// Members entries carry a new list of peers.
	Members
)

// Entry is one place in the log.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  Kind   `json:"kind,omitempty"`
	Data  []byte `json:"data,omitempty"`
	Peers []Peer `json:"peers,omitempty"`
	// Lineage goes with Peers.
	Lineage uint64 `json:"lineage,omitempty"`
}

// Snapshot is the state machine's state at one place in the log.
type Snapshot struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Peers []Peer `json:"peers"`
	Data  []byte `json:"data"`
	// Lineage is the rescue that the state comes from, 0 before the first.
	Lineage uint64 `json:"lineage,omitempty"`
}

// Peer is one replica; its ID belongs to one data folder.
type Peer struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner,omitempty"`
	// Observer marks a learner that never becomes a voter.
	Observer bool `json:"observer,omitempty"`
}

// WithLearner returns the peer as a learner or as a voter.
func (p Peer) WithLearner(learner bool) Peer {
	p.Learner = learner
	return p
}

// State is what a replica finds in its data folder.
type State struct {
	Term     uint64
	Vote     uint64
	Snapshot Snapshot
	Entries  []Entry
}
