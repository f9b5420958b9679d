package raft

import (
	"cmp"
	"slices"
	"time"
)

// campaign starts an election, or a pre-vote that checks whether an election
// could be won.
func (m *Model) campaign(preVote, force bool) []Cmd {
	m.preVote = preVote
	m.role = Candidate
	m.leader = 0
	m.votes = map[uint64]bool{m.cfg.ID: true}
	cmds := []Cmd{LeaderCmd{Term: m.term}}
	term := m.term + 1
	if !preVote {
		m.term = term
		m.vote = m.cfg.ID
		cmds = append(cmds, m.save(nil))
	}
	m.deadline = m.now + m.electionTimeout()
	if m.won() {
		return append(cmds, m.advanceElection(force)...)
	}
	vote := Vote{Term: term, LastIndex: m.log.last(), LastTerm: m.log.lastTerm(), Pre: preVote, Force: force}
	for _, p := range m.peers {
		if p.ID != m.cfg.ID && !p.Learner {
			cmds = append(cmds, SendCmd{To: p, Body: vote})
		}
	}
	return cmds
}

func (m *Model) won() bool {
	return m.hasQuorum(func(id uint64) bool { return m.votes[id] })
}

// advanceElection starts the election after a won pre-vote, and becomes leader
// after a won election.
func (m *Model) advanceElection(force bool) []Cmd {
	if m.preVote {
		return m.campaign(false, force)
	}
	return m.becomeLeader()
}

func (m *Model) onVote(from uint64, v Vote) []Cmd {
	if v.Term < m.term {
		return m.send(from, VoteReply{Term: m.term, Pre: v.Pre})
	}
	// A replica with an active leader ignores candidates, so that one that lost
	// contact does not disrupt the leader.
	if !v.Force && m.hasActiveLeader() {
		return nil
	}
	var cmds []Cmd
	if !v.Pre && v.Term > m.term {
		cmds = m.becomeFollower(v.Term, 0)
	}
	granted := m.upToDate(v) && (v.Pre || m.vote == 0 || m.vote == from)
	if granted && !v.Pre {
		m.vote = from
		m.deadline = m.now + m.electionTimeout()
		cmds = append(cmds, m.save(nil))
	}
	reply := VoteReply{Term: m.term, Granted: granted, Pre: v.Pre}
	if granted {
		reply.Term = v.Term
	}
	return append(cmds, m.send(from, reply)...)
}

// InTouch reports whether the replica had applied all commits that it could know of when
// it last acted.
func (m Model) InTouch() bool {
	return m.now < m.CurrentUntil()
}

// CurrentUntil returns until when the replica may say that its state is current, or 0.
// A leader is current while a quorum replies and once it has committed an entry of its
// term, since it may lack earlier commits before. A follower is current while it hears
// from a leader, unless it lacks entries that the leader has committed.
func (m Model) CurrentUntil() time.Duration {
	switch {
	case m.role == Leader && m.commit >= m.termStart:
		return m.quorumContact() + m.cfg.ElectionTimeout
	case m.role != Leader && m.leader != 0 && m.commit >= m.leaderCommit:
		return m.leaderContact + m.cfg.ElectionTimeout
	}
	return 0
}

// quorumContact returns the latest time by which a quorum, the leader included, has
// replied.
func (m Model) quorumContact() time.Duration {
	var replies []time.Duration
	for _, p := range m.peers {
		switch f := m.followers[p.ID]; {
		case p.Learner:
		case p.ID == m.cfg.ID:
			replies = append(replies, m.now)
		case f != nil:
			replies = append(replies, f.lastReply)
		}
	}
	slices.SortFunc(replies, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	if len(replies) == 0 {
		return 0
	}
	return replies[len(replies)/2]
}

func (m *Model) hasActiveLeader() bool {
	if m.role == Leader {
		return true
	}
	return m.leader != 0 && m.now < m.leaderContact+m.cfg.ElectionTimeout
}

func (m *Model) upToDate(v Vote) bool {
	if v.LastTerm != m.log.lastTerm() {
		return v.LastTerm > m.log.lastTerm()
	}
	return v.LastIndex >= m.log.last()
}

func (m *Model) onVoteReply(from uint64, v VoteReply) []Cmd {
	if !v.Granted && v.Term > m.term {
		return m.becomeFollower(v.Term, 0)
	}
	expected := m.term
	if m.preVote {
		expected++
	}
	if m.role != Candidate || v.Pre != m.preVote || v.Term != expected || !v.Granted {
		return nil
	}
	m.votes[from] = true
	if !m.won() {
		return nil
	}
	return m.advanceElection(false)
}

func (m *Model) becomeLeader() []Cmd {
	m.role = Leader
	m.leader = m.cfg.ID
	m.followers = map[uint64]*follower{}
	m.reads = nil
	m.nextHeartbeat = m.now
	m.beatCommit = m.commit
	m.syncFollowers()
	cmds := []Cmd{LeaderCmd{Leader: m.cfg.ID, Term: m.term}}
	m.termStart = m.log.last() + 1
	cmds = append(cmds, m.appendEntries([]Entry{{Kind: Empty}})...)
	return cmds
}

// syncFollowers updates the tracked followers to match the peer list.
func (m *Model) syncFollowers() {
	for _, p := range m.peers {
		if p.ID == m.cfg.ID || m.followers[p.ID] != nil {
			continue
		}
		m.followers[p.ID] = &follower{next: m.log.last() + 1, addedRound: m.round, lastReply: m.tickedAt, heardAt: m.now}
	}
	for id := range m.followers {
		if !containsPeer(m.peers, id) {
			delete(m.followers, id)
		}
	}
}

// transferring reports whether a leadership transfer is in progress. A transfer
// whose message was lost times out.
func (m *Model) transferring() bool {
	return m.now < m.transferUntil
}

// transfer refuses proposals and transfers the leadership as soon as a voter has
// all entries. The caller repeats the request until then; a message that was lost is sent
// again.
func (m *Model) transfer() []Cmd {
	if m.role != Leader {
		return nil
	}
	if !m.transferring() {
		m.transferee = 0
	}
	m.transferUntil = m.now + m.cfg.ElectionTimeout
	best := m.bestTransferee()
	if best == 0 || m.followers[best].match < m.log.last() {
		return nil
	}
	if best == m.transferee && m.now < m.electSentAt+_resendHeartbeats*m.cfg.HeartbeatInterval {
		return nil
	}
	m.transferee = best
	m.electSentAt = m.now
	return m.send(best, Elect{Term: m.term})
}

// bestTransferee returns the most up-to-date live voter, or 0.
func (m *Model) bestTransferee() uint64 {
	best := uint64(0)
	for id, f := range m.followers {
		preferred := best == 0 || f.match > m.followers[best].match || f.match == m.followers[best].match && id < best
		if m.isVoter(id) && m.now < f.lastReply+m.cfg.ElectionTimeout && preferred {
			best = id
		}
	}
	return best
}

func containsPeer(peers []Peer, id uint64) bool {
	for _, p := range peers {
		if p.ID == id {
			return true
		}
	}
	return false
}
