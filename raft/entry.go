package raft

// Kind is the type of a log entry.
type Kind uint8

const (
	// Normal entries carry a command for the state machine.
	Normal Kind = iota
	// Empty entries start a leader's term.
	Empty
	// Members entries carry a new peer list.
	Members
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Kind  Kind   `json:"kind,omitempty"`
	Data  []byte `json:"data,omitempty"`
	Peers []Peer `json:"peers,omitempty"`
	// Lineage belongs to Peers and is set on Members entries only.
	Lineage uint64 `json:"lineage,omitempty"`
}

// Snapshot is the state of the state machine at one index of the log.
type Snapshot struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Peers []Peer `json:"peers"`
	Data  []byte `json:"data"`
	// Lineage is the number of the rescue that the state descends from, or 0.
	Lineage uint64 `json:"lineage,omitempty"`
}

// Peer is one replica of a group. Its ID identifies its data folder.
type Peer struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Learner bool   `json:"learner,omitempty"`
	// Observer marks a learner that is never promoted to voter.
	Observer bool `json:"observer,omitempty"`
}

// WithLearner returns the peer as a learner or as a voter.
func (p Peer) WithLearner(learner bool) Peer {
	p.Learner = learner
	return p
}

// State is the persistent state of a replica.
type State struct {
	Term     uint64
	Vote     uint64
	Snapshot Snapshot
	Entries  []Entry
}
