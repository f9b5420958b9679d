package raft

import "slices"

// bootstrap writes the initial peer list if the replica is empty.
func (m *Model) bootstrap(p Peer) []Cmd {
	if len(m.peers) > 0 || m.log.last() > 0 {
		return nil
	}
	m.log.snapshot.Peers = []Peer{p.WithLearner(false)}
	m.reloadPeers()
	return []Cmd{SnapshotCmd{Snapshot: m.log.snapshot}}
}

// addPeer adds a replica as a learner, which does not count towards a quorum. An
// observer can be added again to become a voter.
func (m *Model) addPeer(p Peer) []Cmd {
	if !m.canChangePeers() || containsPeer(m.peers, p.ID) && !m.promotesObserver(p) {
		return nil
	}
	return m.changePeers(append(withoutPeer(m.peers, p.ID), p.WithLearner(true)))
}

// promotesObserver reports whether p turns an existing observer into a learner that is
// to become a voter.
func (m *Model) promotesObserver(p Peer) bool {
	return slices.ContainsFunc(m.peers, func(old Peer) bool {
		return old.ID == p.ID && old.Observer && !p.Observer
	})
}

func (m *Model) removePeer(id uint64) []Cmd {
	if !m.canChangePeers() || !containsPeer(m.peers, id) || id == m.cfg.ID {
		return nil
	}
	return m.changePeers(withoutPeer(m.peers, id))
}

// advanceMembership performs the next step of a membership change: it promotes
// a learner that has caught up, then removes the replica that it replaces.
func (m *Model) advanceMembership() []Cmd {
	if !m.canChangePeers() {
		return nil
	}
	for i, p := range m.peers {
		f := m.followers[p.ID]
		if p.Learner && !p.Observer && f != nil && f.match >= m.commit && m.now < f.lastReply+m.cfg.ElectionTimeout {
			peers := slices.Clone(m.peers)
			peers[i] = p.WithLearner(false)
			return m.changePeers(peers)
		}
	}
	for i, old := range m.peers {
		if old.ID != m.cfg.ID && hasReplacement(old, m.peers[i+1:]) {
			return m.changePeers(withoutPeer(m.peers, old.ID))
		}
	}
	if silent := m.silentSurplusVoter(); silent != 0 {
		return m.changePeers(withoutPeer(m.peers, silent))
	}
	return nil
}

// silentSurplusVoter returns a silent voter while there are more voters than
// needed, or 0. Such a voter remains, for example, after an empty host at
// another address has replaced it.
func (m *Model) silentSurplusVoter() uint64 {
	voters, silent := 0, uint64(0)
	for _, p := range m.peers {
		if p.Learner {
			continue
		}
		voters++
		f := m.followers[p.ID]
		if f != nil && m.now >= f.heardAt+_removalTimeouts*m.cfg.ElectionTimeout {
			silent = p.ID
		}
	}
	if m.cfg.TargetVoters == 0 || voters <= m.cfg.TargetVoters {
		return 0
	}
	return silent
}

// canChangePeers reports whether the leader may change the peer list, which
// requires that the previous change and an entry of the leader's term are committed,
// and that it is not transferring its leadership.
func (m *Model) canChangePeers() bool {
	return m.role == Leader && !m.transferring() && m.commit >= m.termStart && m.commit >= m.peersIndex
}

func (m *Model) changePeers(peers []Peer) []Cmd {
	m.peers = peers
	m.peersIndex = m.log.last() + 1
	m.syncFollowers()
	return m.appendEntries([]Entry{{Kind: Members, Peers: peers, Lineage: m.lineage}})
}

// reloadPeers loads the latest peer list from the log.
func (m *Model) reloadPeers() {
	latest := m.log.peersAt(m.log.last())
	m.peers = latest.Peers
	m.peersIndex = latest.Index
	m.lineage = latest.Lineage
}

// hasReplacement reports whether a later peer of the same name takes the place
// of an old one.
func hasReplacement(old Peer, later []Peer) bool {
	return slices.ContainsFunc(later, func(p Peer) bool {
		return p.Name == old.Name && (!p.Learner || p.Observer && old.Observer)
	})
}

func withoutPeer(peers []Peer, id uint64) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == id })
}
