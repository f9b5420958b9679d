package raft

import "slices"

// log holds the entries after the snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *log) first() uint64 {
	return l.snapshot.Index + 1
}

func (l *log) last() uint64 {
	return l.snapshot.Index + uint64(len(l.entries))
}

// term returns the term of the entry at an index, or false if the log does not
// contain it.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.first() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// size returns the bytes of the entries from one index up to, but without, another.
func (l *log) size(from, to uint64) int {
	from, to = max(from, l.first()), min(to, l.last()+1)
	size := 0
	for index := from; index < to; index++ {
		size += len(l.entries[index-l.first()].Data)
	}
	return size
}

// sliceBytes returns up to n entries starting at an index, of at most the given bytes
// together, but at least one.
func (l *log) sliceBytes(from uint64, n, bytes int) []Entry {
	entries := l.slice(from, n)
	for i := range entries {
		bytes -= len(entries[i].Data)
		if bytes < 0 {
			return entries[:max(i, 1)]
		}
	}
	return entries
}

// slice returns up to n entries starting at an index.
func (l *log) slice(from uint64, n int) []Entry {
	if from > l.last() {
		return nil
	}
	entries := l.entries[from-l.first():]
	if len(entries) > n {
		entries = entries[:n]
	}
	return append([]Entry(nil), entries...)
}

// between returns the entries after one index up to and including another.
func (l *log) between(after, index uint64) []Entry {
	return l.slice(after+1, int(index-after))
}

func (l *log) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - l.first())
	if keep < len(l.entries) {
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

func (l *log) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

func (l *log) reset(s Snapshot) {
	l.entries = nil
	l.snapshot = s
}

// peersAt returns the entry with the peer list in effect at an index.
func (l *log) peersAt(index uint64) Entry {
	for _, e := range slices.Backward(l.entries) {
		if e.Kind == Members && e.Index <= index {
			return e
		}
	}
	s := l.snapshot
	return Entry{Index: s.Index, Term: s.Term, Kind: Members, Peers: s.Peers, Lineage: s.Lineage}
}
