package raft

// read broadcasts a heartbeat round. A quorum of replies confirms that this
// replica is still the leader, so that the read is linearizable.
func (m *Model) read(msg ReadMsg) []Cmd {
	if m.role != Leader || m.transferring() || m.commit < m.termStart {
		return []Cmd{RefusedCmd(msg)}
	}
	cmds := m.broadcast(true)
	m.reads = append(m.reads, read{id: msg.ID, round: m.round, index: m.commit})
	return append(cmds, m.answerReads()...)
}

// answerReads confirms the pending reads whose round a quorum has acknowledged.
func (m *Model) answerReads() []Cmd {
	var cmds []Cmd
	var pending []read
	for _, r := range m.reads {
		confirmed := func(id uint64) bool { return id == m.cfg.ID || m.followers[id].round >= r.round }
		if m.hasQuorum(confirmed) {
			cmds = append(cmds, ReadReadyCmd{ID: r.id, Index: r.index})
			continue
		}
		pending = append(pending, r)
	}
	m.reads = pending
	return cmds
}
