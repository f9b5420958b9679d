package raft

// Rescue returns what makes the replica of a data folder the only voter of its
// group, or false if it holds no part of the group. It is for a majority that
// is lost for good: what only the lost replicas held is lost with them, and
// none of them may run again.
func Rescue(s State, id uint64) (SaveCmd, bool) {
	l := log{snapshot: s.Snapshot, entries: s.Entries}
	peers, _ := l.peers()
	for _, p := range peers {
		if p.ID != id {
			continue
		}
		p.Learner = false
		p.Observer = false
		term := max(s.Term, l.lastTerm()) + 1
		return SaveCmd{
			Term:    term,
			Vote:    id,
			Entries: []Entry{{Index: l.last() + 1, Term: term, Kind: Members, Peers: []Peer{p}}},
		}, true
	}
	return SaveCmd{}, false
}
