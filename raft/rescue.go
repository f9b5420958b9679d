package raft

import "slices"

// Rescue returns what makes the replica of a data folder the only voter of its
// group, and whether the folder held the group. It is for a majority that is
// lost for good: what only the lost replicas held is lost with them. The group
// goes on under a greater lineage, at least the given one, which keeps lost
// replicas out that start again.
func Rescue(s State, self Peer, lineage uint64) (SaveCmd, bool) {
	l := log{snapshot: s.Snapshot, entries: s.Entries}
	members := l.membersAt(l.last())
	held := slices.ContainsFunc(members.Peers, func(p Peer) bool { return p.ID == self.ID })
	self.Learner = false
	self.Observer = false
	term := max(s.Term, l.lastTerm()) + 1
	return SaveCmd{
		Term: term,
		Vote: self.ID,
		Entries: []Entry{{
			Index:   l.last() + 1,
			Term:    term,
			Kind:    Members,
			Peers:   []Peer{self},
			Lineage: max(lineage, members.Lineage+1),
		}},
	}, held
}

// asks reports whether a body wants something of its receiver, which only a
// replica of the receiver's lineage may; a replica that catches up answers from
// an older one.
func asks(body any) bool {
	switch body.(type) {
	case Vote, Append, Install, Elect:
		return true
	}
	return false
}
