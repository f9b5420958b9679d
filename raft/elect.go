package raft

// campaign stands for election; with pre it first asks whether it could win.
func (m *Model) campaign(pre, force bool) []Cmd {
	m.pre = pre
	m.role = Candidate
	m.leader = 0
	m.votes = map[uint64]bool{m.cfg.ID: true}
	cmds := []Cmd{LeaderCmd{Term: m.term}}
	term := m.term + 1
	if !pre {
		m.term = term
		m.vote = m.cfg.ID
		cmds = append(cmds, m.save(nil))
	}
	m.deadline = m.at + m.patience()
	if m.won() {
		return append(cmds, m.advance(force)...)
	}
	vote := Vote{Term: term, Index: m.log.last(), Last: m.log.lastTerm(), Pre: pre, Force: force}
	for _, p := range m.peers {
		if p.ID != m.cfg.ID && !p.Learner {
			cmds = append(cmds, SendCmd{To: p, Body: vote})
		}
	}
	return cmds
}

func (m *Model) won() bool {
	return m.quorum(func(id uint64) bool { return m.votes[id] })
}

// advance goes from a won pre-vote to the vote, and from there to leading.
func (m *Model) advance(force bool) []Cmd {
	if m.pre {
		return m.campaign(false, force)
	}
	return m.win()
}

func (m *Model) onVote(from uint64, v Vote) []Cmd {
	if v.Term < m.term {
		return m.send(from, VoteReply{Term: m.term, Pre: v.Pre})
	}
	// A replica that hears a leader ignores one that does not.
	if !v.Force && m.hearsLeader() {
		return nil
	}
	var cmds []Cmd
	if !v.Pre && v.Term > m.term {
		cmds = m.follow(v.Term, 0)
	}
	granted := m.upToDate(v) && (v.Pre || m.vote == 0 || m.vote == from)
	if granted && !v.Pre {
		m.vote = from
		m.deadline = m.at + m.patience()
		cmds = append(cmds, m.save(nil))
	}
	reply := VoteReply{Term: m.term, Granted: granted, Pre: v.Pre}
	if granted {
		reply.Term = v.Term
	}
	return append(cmds, m.send(from, reply)...)
}

func (m *Model) hearsLeader() bool {
	if m.role == Leader {
		return true
	}
	return m.leader != 0 && m.at < m.heard+m.cfg.Election
}

func (m *Model) upToDate(v Vote) bool {
	if v.Last != m.log.lastTerm() {
		return v.Last > m.log.lastTerm()
	}
	return v.Index >= m.log.last()
}

func (m *Model) onVoteReply(from uint64, v VoteReply) []Cmd {
	if !v.Granted && v.Term > m.term {
		return m.follow(v.Term, 0)
	}
	asked := m.term
	if m.pre {
		asked++
	}
	if m.role != Candidate || v.Pre != m.pre || v.Term != asked || !v.Granted {
		return nil
	}
	m.votes[from] = true
	if !m.won() {
		return nil
	}
	return m.advance(false)
}

func (m *Model) win() []Cmd {
	m.role = Leader
	m.leader = m.cfg.ID
	m.followers = map[uint64]*follower{}
	m.reads = nil
	m.track()
	cmds := []Cmd{LeaderCmd{Leader: m.cfg.ID, Term: m.term}}
	m.opened = m.log.last() + 1
	cmds = append(cmds, m.appendEntries([]Entry{{Kind: Empty}})...)
	return cmds
}

// track keeps one record for each of the other replicas.
func (m *Model) track() {
	for _, p := range m.peers {
		if p.ID == m.cfg.ID || m.followers[p.ID] != nil {
			continue
		}
		m.followers[p.ID] = &follower{next: m.log.last() + 1, seen: m.at}
	}
	for id := range m.followers {
		if !contains(m.peers, id) {
			delete(m.followers, id)
		}
	}
}

// moving reports a transfer under way; one whose message was lost runs out.
func (m *Model) moving() bool {
	return m.at < m.moved
}

// transfer holds proposals back and hands over once a voter has all entries;
// it is asked for again until then.
func (m *Model) transfer() []Cmd {
	if m.role != Leader {
		return nil
	}
	if !m.moving() {
		m.elected = 0
	}
	m.moved = m.at + m.cfg.Election
	best := m.successor()
	if best == 0 || best == m.elected || m.followers[best].match < m.log.last() {
		return nil
	}
	m.elected = best
	return m.send(best, Elect{Term: m.term})
}

// successor returns the live voter with the most entries.
func (m *Model) successor() uint64 {
	best := uint64(0)
	for id, f := range m.followers {
		better := best == 0 || f.match > m.followers[best].match || f.match == m.followers[best].match && id < best
		if m.voter(id) && m.at < f.seen+m.cfg.Election && better {
			best = id
		}
	}
	return best
}

func contains(peers []Peer, id uint64) bool {
	for _, p := range peers {
		if p.ID == id {
			return true
		}
	}
	return false
}
