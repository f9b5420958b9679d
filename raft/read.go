package raft

// read starts a round; its quorum proves that nobody else leads.
func (m *Model) read(msg ReadMsg) []Cmd {
	if m.role != Leader || m.moving() || m.commit < m.opened {
		return []Cmd{RefusedCmd(msg)}
	}
	cmds := m.broadcast(true)
	m.reads = append(m.reads, read{id: msg.ID, round: m.round, index: m.commit})
	return append(cmds, m.answerReads()...)
}

func (m *Model) answerReads() []Cmd {
	var cmds []Cmd
	var open []read
	for _, r := range m.reads {
		heard := func(id uint64) bool { return id == m.cfg.ID || m.followers[id].round >= r.round }
		if m.quorum(heard) {
			cmds = append(cmds, ReadyCmd{ID: r.id, Index: r.index})
			continue
		}
		open = append(open, r)
	}
	m.reads = open
	return cmds
}
