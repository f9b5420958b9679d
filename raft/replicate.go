package raft

import "slices"

// lead sends heartbeats and steps down when a quorum falls silent.
func (m *Model) lead() []Cmd {
	alive := func(id uint64) bool {
		return id == m.cfg.ID || m.at < m.followers[id].seen+m.cfg.Election
	}
	if !m.quorum(alive) {
		return m.follow(m.term, 0)
	}
	if m.at < m.beat {
		return nil
	}
	cmds := m.reshape()
	// The replicas of one process beat together, so that their messages share
	// a call.
	m.beat = m.at - m.at%m.cfg.Heartbeat + m.cfg.Heartbeat
	for _, f := range m.followers {
		f.rewind()
	}
	return append(cmds, m.broadcast(true)...)
}

func (m *Model) propose(msg ProposeMsg) []Cmd {
	var cmds []Cmd
	if m.role != Leader || m.moving() {
		for _, p := range msg.Proposals {
			cmds = append(cmds, RefusedCmd{ID: p.ID})
		}
		return cmds
	}
	index := m.log.last()
	entries := make([]Entry, 0, len(msg.Proposals))
	for _, p := range msg.Proposals {
		index++
		entries = append(entries, Entry{Data: p.Data})
		cmds = append(cmds, AcceptedCmd{ID: p.ID, Index: index, Term: m.term})
	}
	return append(cmds, m.appendEntries(entries)...)
}

func (m *Model) appendEntries(entries []Entry) []Cmd {
	for i := range entries {
		entries[i].Index = m.log.last() + 1 + uint64(i)
		entries[i].Term = m.term
	}
	m.log.append(entries)
	cmds := []Cmd{m.save(entries)}
	cmds = append(cmds, m.broadcast(false)...)
	return append(cmds, m.commitUp()...)
}

// broadcast starts a round; a beat reaches every follower.
func (m *Model) broadcast(beat bool) []Cmd {
	m.round++
	var cmds []Cmd
	for _, p := range m.peers {
		if p.ID != m.cfg.ID {
			cmds = append(cmds, m.replicate(p, beat)...)
		}
	}
	return cmds
}

// replicate sends what the follower lacks; a beat is sent also when that is
// nothing.
func (m *Model) replicate(p Peer, beat bool) []Cmd {
	f := m.followers[p.ID]
	prev := f.next - 1
	last, held := m.log.term(prev)
	if !held {
		return m.install(p, f, beat)
	}
	if !beat && f.next > f.match+_window {
		return nil
	}
	entries := m.log.slice(f.next, _maxEntries)
	f.next += uint64(len(entries))
	return []Cmd{SendCmd{To: p, Body: Append{
		Term:    m.term,
		Prev:    prev,
		Last:    last,
		Commit:  m.commit,
		Round:   m.round,
		Entries: entries,
	}}}
}

// install sends the snapshot, and again once it was missed; beats in between
// only say that the leader lives.
func (m *Model) install(p Peer, f *follower, beat bool) []Cmd {
	waiting := f.loaded > 0 && !f.missed && m.at < f.loaded+_installPatience*m.cfg.Election
	if waiting && !beat {
		return nil
	}
	if waiting {
		return []Cmd{SendCmd{To: p, Body: Append{Term: m.term, Round: m.round}}}
	}
	f.loaded = max(m.at, 1)
	f.sent = m.round
	f.missed = false
	return []Cmd{SendCmd{To: p, Body: Install{Term: m.term, Round: m.round, Snapshot: m.log.snapshot}}}
}

func (m *Model) onAppend(from uint64, a Append) []Cmd {
	if a.Term < m.term {
		return m.send(from, AppendReply{Term: m.term})
	}
	cmds := m.heed(from, a.Term)
	reply := AppendReply{Term: m.term, Round: a.Round}
	if term, held := m.log.term(a.Prev); a.Prev > m.commit && (!held || term != a.Last) {
		reply.Match = min(m.log.last(), a.Prev-1)
		return append(cmds, m.send(from, reply)...)
	}
	fresh := m.fresh(a.Entries)
	if len(fresh) > 0 {
		m.log.append(fresh)
		m.regroup()
		cmds = append(cmds, m.save(fresh))
	}
	reply.OK = true
	reply.Match = a.Prev + uint64(len(a.Entries))
	cmds = append(cmds, m.commitTo(min(a.Commit, reply.Match))...)
	return append(cmds, m.send(from, reply)...)
}

// fresh returns the entries that are not in the log, from the first that
// differs on.
func (m *Model) fresh(entries []Entry) []Entry {
	for i, e := range entries {
		if e.Index <= m.log.snapshot.Index {
			continue
		}
		if term, held := m.log.term(e.Index); !held || term != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// heed takes the sender as the leader.
func (m *Model) heed(from, term uint64) []Cmd {
	var cmds []Cmd
	if term > m.term || m.role != Follower || m.leader != from {
		cmds = m.follow(term, from)
	}
	m.heard = m.at
	m.deadline = m.at + m.patience()
	return cmds
}

func (m *Model) onAppendReply(from uint64, r AppendReply) []Cmd {
	if r.Term > m.term {
		return m.follow(r.Term, 0)
	}
	f := m.followers[from]
	if m.role != Leader || r.Term < m.term || f == nil {
		return nil
	}
	f.seen = m.at
	f.round = max(f.round, r.Round)
	f.missed = f.missed || f.loaded > 0 && r.Round > f.sent && r.Match < m.log.snapshot.Index
	cmds := m.answerReads()
	if !r.OK {
		f.next = max(f.match, min(r.Match, m.log.last())) + 1
		return append(cmds, m.replicate(m.peer(from), false)...)
	}
	if r.Match > f.match {
		f.match = r.Match
		f.loaded = 0
		f.next = max(f.next, f.match+1)
		cmds = append(cmds, m.commitUp()...)
	}
	if f.next <= m.log.last() {
		cmds = append(cmds, m.replicate(m.peer(from), false)...)
	}
	return cmds
}

// rewind sends again what brought no progress since the last heartbeat.
func (f *follower) rewind() {
	if f.match == f.beaten {
		f.next = f.match + 1
	}
	f.beaten = f.match
}

func (m *Model) peer(id uint64) Peer {
	i := slices.IndexFunc(m.peers, func(p Peer) bool { return p.ID == id })
	if i < 0 {
		return Peer{ID: id}
	}
	return m.peers[i]
}

// commitUp commits what a quorum holds, if the leader's own term wrote it.
func (m *Model) commitUp() []Cmd {
	target := m.commit
	for index := m.log.last(); index > m.commit; index-- {
		term, _ := m.log.term(index)
		if term != m.term {
			break
		}
		held := func(id uint64) bool { return id == m.cfg.ID || m.followers[id].match >= index }
		if m.quorum(held) {
			target = index
			break
		}
	}
	return m.commitTo(target)
}

func (m *Model) commitTo(index uint64) []Cmd {
	index = min(index, m.log.last())
	if index <= m.commit {
		return nil
	}
	entries := m.log.upTo(m.commit, index)
	m.commit = index
	cmds := []Cmd{ApplyCmd{Entries: entries}}
	if m.role == Leader {
		cmds = append(cmds, m.answerReads()...)
	}
	return cmds
}

func (m *Model) onInstall(from uint64, i Install) []Cmd {
	if i.Term < m.term {
		return m.send(from, AppendReply{Term: m.term})
	}
	cmds := m.heed(from, i.Term)
	reply := AppendReply{Term: m.term, Round: i.Round, OK: true, Match: m.commit}
	// Entries after the snapshot may count in the leader's quorum: a log that
	// holds the snapshot's place keeps them.
	if term, held := m.log.term(i.Snapshot.Index); held && term == i.Snapshot.Term {
		cmds = append(cmds, m.commitTo(i.Snapshot.Index)...)
		reply.Match = max(m.commit, i.Snapshot.Index)
		return append(cmds, m.send(from, reply)...)
	}
	if i.Snapshot.Index > m.commit {
		m.log.reset(i.Snapshot)
		m.commit = i.Snapshot.Index
		m.regroup()
		reply.Match = m.commit
		cmds = append(cmds, SnapshotCmd{Snapshot: i.Snapshot, Reset: true}, RestoreCmd{Snapshot: i.Snapshot})
	}
	return append(cmds, m.send(from, reply)...)
}

func (m *Model) compact(msg CompactMsg) []Cmd {
	if msg.Index <= m.log.snapshot.Index || msg.Index > m.commit {
		return nil
	}
	term, _ := m.log.term(msg.Index)
	members := m.log.membersAt(msg.Index)
	s := Snapshot{Index: msg.Index, Term: term, Peers: members.Peers, Lineage: members.Lineage, Data: msg.Data}
	m.log.compact(s)
	return []Cmd{SnapshotCmd{Snapshot: s}}
}
