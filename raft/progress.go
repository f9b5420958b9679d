package raft

import "time"

// Progress is how far a leader knows that a replica has got.
type Progress struct {
	Peer Peer `json:"peer"`
	// Match is the last index that the replica is known to hold, and Next the one that is
	// sent next.
	Match uint64 `json:"match"`
	Next  uint64 `json:"next"`
	// Silent is the time since the last reply.
	Silent time.Duration `json:"silent"`
}

// Learners returns the progress of the learners that are to become voters, or nil if this
// replica does not lead.
func (m Model) Learners() []Progress {
	if m.role != Leader {
		return nil
	}
	var list []Progress
	for _, p := range m.peers {
		if f := m.followers[p.ID]; p.Learner && !p.Observer && f != nil {
			list = append(list, Progress{Peer: p, Match: f.match, Next: f.next, Silent: m.now - f.heardAt})
		}
	}
	return list
}
