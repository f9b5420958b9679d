package raft

import "slices"

// Rescue returns a command that makes a replica the only voter of its group, and
// reports whether the replica belongs to the group. It recovers from the
// permanent loss of a majority; entries that only the lost replicas stored are
// lost. The group continues under a higher lineage, at least the given one,
// which excludes lost replicas that start again.
func Rescue(s State, self Peer, lineage uint64) (SaveCmd, bool) {
	l := log{snapshot: s.Snapshot, entries: s.Entries}
	members := l.peersAt(l.last())
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

// isRequest reports whether a body is a request. Requests from an older lineage
// are rejected; replies are not, because a replica that is still catching up
// sends them from an older lineage.
func isRequest(body any) bool {
	switch body.(type) {
	case Vote, Append, Install, Elect:
		return true
	}
	return false
}
