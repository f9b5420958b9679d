package raft

import "slices"

// leaderTick sends heartbeats, and steps down when no quorum responds.
func (m *Model) leaderTick() []Cmd {
	alive := func(id uint64) bool {
		return id == m.cfg.ID || m.now < m.followers[id].heardAt+m.cfg.ElectionTimeout
	}
	if !m.hasQuorum(alive) {
		return m.becomeFollower(m.term, 0)
	}
	if m.now < m.nextHeartbeat {
		return nil
	}
	cmds := m.advanceMembership()
	m.beatCommit = m.commit
	// All replicas of a process send heartbeats at the same time, so that their
	// messages are batched into one call.
	m.nextHeartbeat = m.now - m.now%m.cfg.HeartbeatInterval + m.cfg.HeartbeatInterval
	for _, f := range m.followers {
		f.rewindIfStalled()
	}
	return append(cmds, m.broadcast(true)...)
}

func (m *Model) propose(msg ProposeMsg) []Cmd {
	var cmds []Cmd
	if m.role != Leader || m.transferring() {
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
	return append(cmds, m.advanceCommit()...)
}

// broadcast starts a new round. A heartbeat is sent to every follower.
func (m *Model) broadcast(heartbeat bool) []Cmd {
	m.round++
	var cmds []Cmd
	for _, p := range m.peers {
		if p.ID != m.cfg.ID {
			cmds = append(cmds, m.replicate(p, heartbeat)...)
		}
	}
	return cmds
}

// replicate sends the entries that the follower lacks. A heartbeat is sent even
// if there are none or the follower's window is full; then it carries none.
func (m *Model) replicate(p Peer, heartbeat bool) []Cmd {
	f := m.followers[p.ID]
	prev := f.next - 1
	last, held := m.log.term(prev)
	if !held {
		return m.install(p, f, heartbeat)
	}
	var entries []Entry
	switch {
	case !m.windowFull(f):
		entries = m.log.sliceBytes(f.next, _maxAppendEntries, _maxAppendBytes)
	case !heartbeat:
		return nil
	}
	f.next += uint64(len(entries))
	return []Cmd{SendCmd{To: p, Body: Append{
		Term:      m.term,
		PrevIndex: prev,
		PrevTerm:  last,
		Commit:    m.commit,
		Round:     m.round,
		Entries:   entries,
	}}}
}

// windowFull reports whether as much is under way to a follower as may be.
func (m *Model) windowFull(f *follower) bool {
	return f.next > f.match+_maxInflightEntries || m.log.size(f.match+1, f.next) >= _maxInflightBytes
}

// install sends the snapshot, and sends it again if it was missed or timed out.
// While the snapshot is pending, heartbeats carry no entries.
func (m *Model) install(p Peer, f *follower, heartbeat bool) []Cmd {
	waiting := f.snapshotSent > 0 && !f.snapshotMissed && m.now < f.snapshotSent+_installRetryTimeouts*m.cfg.ElectionTimeout
	if waiting && !heartbeat {
		return nil
	}
	if waiting {
		return []Cmd{SendCmd{To: p, Body: Append{Term: m.term, Commit: m.commit, Round: m.round}}}
	}
	f.snapshotSent = max(m.now, 1)
	f.snapshotRound = m.round
	f.snapshotMissed = false
	return []Cmd{SendCmd{To: p, Body: Install{Term: m.term, Round: m.round, Snapshot: m.log.snapshot}}}
}

func (m *Model) onAppend(from uint64, a Append) []Cmd {
	if a.Term < m.term {
		return m.send(from, AppendReply{Term: m.term})
	}
	cmds := m.acceptLeader(from, a.Term)
	m.leaderCommit = max(m.leaderCommit, a.Commit)
	reply := AppendReply{Term: m.term, Round: a.Round}
	if term, held := m.log.term(a.PrevIndex); a.PrevIndex > m.commit && (!held || term != a.PrevTerm) {
		reply.Match = min(m.log.last(), a.PrevIndex-1)
		return append(cmds, m.send(from, reply)...)
	}
	newEntries := m.newEntries(a.Entries)
	if len(newEntries) > 0 {
		m.saved = min(m.saved, newEntries[0].Index-1)
		m.log.append(newEntries)
		m.reloadPeers()
		cmds = append(cmds, m.save(newEntries))
	}
	reply.OK = true
	reply.Match = a.PrevIndex + uint64(len(a.Entries))
	cmds = append(cmds, m.commitTo(min(a.Commit, reply.Match))...)
	return append(cmds, m.send(from, reply)...)
}

// newEntries returns the entries from the first one on that is missing from the
// log or differs from it.
func (m *Model) newEntries(entries []Entry) []Entry {
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

// acceptLeader follows the sender as the leader of its term.
func (m *Model) acceptLeader(from, term uint64) []Cmd {
	var cmds []Cmd
	if term > m.term || m.role != Follower || m.leader != from {
		cmds = m.becomeFollower(term, from)
	}
	m.leaderPeer = m.sender
	m.leaderContact = m.tickedAt
	m.deadline = m.now + m.electionTimeout()
	return cmds
}

func (m *Model) onAppendReply(from uint64, r AppendReply) []Cmd {
	if r.Term > m.term {
		return m.becomeFollower(r.Term, 0)
	}
	f := m.followers[from]
	if m.role != Leader || r.Term < m.term || f == nil {
		return nil
	}
	f.lastReply = m.tickedAt
	f.heardAt = m.now
	f.round = max(f.round, r.Round)
	f.snapshotMissed = f.snapshotMissed || f.snapshotSent > 0 && r.Round > f.snapshotRound && r.Match < m.log.snapshot.Index
	cmds := m.answerReads()
	if !r.OK {
		f.next = max(f.match, min(r.Match, m.log.last())) + 1
		return append(cmds, m.replicate(m.peer(from), false)...)
	}
	if r.Match > f.match {
		f.match = r.Match
		f.snapshotSent = 0
		f.next = max(f.next, f.match+1)
		cmds = append(cmds, m.advanceCommit()...)
	}
	if f.next <= m.log.last() {
		cmds = append(cmds, m.replicate(m.peer(from), false)...)
	}
	return cmds
}

// rewindIfStalled resends unacknowledged entries if the follower has made no progress for
// some heartbeats. It learns of a lost message sooner, from the reply to a heartbeat.
func (f *follower) rewindIfStalled() {
	f.stuckBeats++
	if f.match != f.heartbeatMatch {
		f.stuckBeats = 0
	}
	f.heartbeatMatch = f.match
	if f.stuckBeats >= _resendHeartbeats {
		f.stuckBeats = 0
		f.next = f.match + 1
	}
}

func (m *Model) peer(id uint64) Peer {
	i := slices.IndexFunc(m.peers, func(p Peer) bool { return p.ID == id })
	if i < 0 {
		return Peer{ID: id}
	}
	return m.peers[i]
}

// onSaved counts this replica's own copy of the entries that are synced.
func (m *Model) onSaved(msg SavedMsg) []Cmd {
	if term, held := m.log.term(msg.Index); !held || term != msg.Term || msg.Index <= m.saved {
		return nil
	}
	m.saved = msg.Index
	if m.role != Leader {
		return nil
	}
	return m.advanceCommit()
}

// advanceCommit commits the entries that a quorum has stored. Only an entry of
// the leader's own term can advance the commit index.
func (m *Model) advanceCommit() []Cmd {
	target := m.commit
	for index := m.log.last(); index > m.commit; index-- {
		term, _ := m.log.term(index)
		if term != m.term {
			break
		}
		held := func(id uint64) bool {
			if id == m.cfg.ID {
				return !m.cfg.Async || m.saved >= index
			}
			return m.followers[id].match >= index
		}
		if m.hasQuorum(held) {
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
	entries := m.log.between(m.commit, index)
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
	cmds := m.acceptLeader(from, i.Term)
	reply := AppendReply{Term: m.term, Round: i.Round, OK: true, Match: m.commit}
	// The leader may already count later entries towards a quorum, so a log that
	// contains the last entry of the snapshot is kept.
	if term, held := m.log.term(i.Snapshot.Index); held && term == i.Snapshot.Term {
		cmds = append(cmds, m.commitTo(i.Snapshot.Index)...)
		reply.Match = max(m.commit, i.Snapshot.Index)
		return append(cmds, m.send(from, reply)...)
	}
	if i.Snapshot.Index > m.commit {
		m.saved = 0
		m.log.reset(i.Snapshot)
		m.commit = i.Snapshot.Index
		m.reloadPeers()
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
	members := m.log.peersAt(msg.Index)
	s := Snapshot{Index: msg.Index, Term: term, Peers: members.Peers, Lineage: members.Lineage, Data: msg.Data}
	m.log.compact(s)
	return []Cmd{SnapshotCmd{Snapshot: s}}
}
