package raft

import (
	"slices"
	"time"
)

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
// observer can be added again to become a voter, and one that has moved with its disk to
// change its address.
func (m *Model) addPeer(p Peer) []Cmd {
	if !m.canChangePeers() {
		return nil
	}
	if i := slices.IndexFunc(m.peers, func(old Peer) bool { return old.ID == p.ID }); i >= 0 && !m.promotesObserver(p) {
		if p.Addr == "" || p.Addr == m.peers[i].Addr {
			return nil
		}
		peers := slices.Clone(m.peers)
		peers[i].Addr = p.Addr
		return m.changePeers(peers)
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
// a learner that has caught up and removes the replica that it replaces.
func (m *Model) advanceMembership() []Cmd {
	if !m.canChangePeers() {
		return nil
	}
	for i, p := range m.peers {
		if !m.caughtUp(p) {
			continue
		}
		gone, wait := m.makeRoom(p)
		switch {
		case wait:
			continue
		case gone != 0:
			return m.changePeers(withoutPeer(m.peers, gone))
		}
		peers := slices.Clone(m.peers)
		peers[i] = p.WithLearner(false)
		return m.changePeers(peers)
	}
	for i, old := range m.peers {
		if old.ID != m.cfg.ID && hasReplacement(old, m.peers[i+1:]) {
			return m.changePeers(withoutPeer(m.peers, old.ID))
		}
	}
	if voters, silent, since := m.silentVoter(); m.cfg.TargetVoters > 0 && voters > m.cfg.TargetVoters &&
		since >= _removalTimeouts*m.cfg.ElectionTimeout {
		return m.changePeers(withoutPeer(m.peers, silent))
	}
	if silent := m.silentLearner(); silent != 0 {
		return m.changePeers(withoutPeer(m.peers, silent))
	}
	return nil
}

// silentLearner returns a learner that was lost before it became a voter, or 0. Nothing
// replaces it if its host does not come back under its name.
func (m *Model) silentLearner() uint64 {
	for _, p := range m.peers {
		f := m.followers[p.ID]
		if m.cfg.TargetVoters > 0 && p.Learner && !p.Observer && f != nil &&
			m.now >= f.heardAt+_silentLearnerTimeouts*m.cfg.ElectionTimeout {
			return p.ID
		}
	}
	return 0
}

// caughtUp reports whether a learner is ready to become a voter: it holds what was committed
// at the heartbeat before. What is committed all the time reaches it a little later.
func (m *Model) caughtUp(p Peer) bool {
	f := m.followers[p.ID]
	return p.Learner && !p.Observer && f != nil && f.match >= m.beatCommit && m.now < f.lastReply+m.cfg.ElectionTimeout
}

// makeRoom returns the voter that is to be removed before a learner is promoted, or 0, and
// whether to wait until it is known. A voter that is gone and a new one, which may be lost
// again, would together take more from a quorum than the one host that they are.
func (m *Model) makeRoom(learner Peer) (gone uint64, wait bool) {
	voters, silent, since := m.silentVoter()
	if m.cfg.TargetVoters == 0 || voters < m.cfg.TargetVoters {
		return 0, false
	}
	for _, p := range m.peers {
		if p.Name == learner.Name && !p.Learner && p.ID != m.cfg.ID {
			return p.ID, false
		}
	}
	if since >= _replacementTimeouts*m.cfg.ElectionTimeout {
		return silent, false
	}
	added := m.followers[learner.ID].addedRound
	quiet := func(p Peer) bool {
		return !p.Learner && p.ID != m.cfg.ID && m.followers[p.ID].round <= added
	}
	return 0, since >= _quietHeartbeats*m.cfg.HeartbeatInterval || slices.ContainsFunc(m.peers, quiet)
}

// silentVoter returns the number of voters, and the one that has been silent for the longest
// time. Such a voter remains, for example, after an empty host at another address has
// replaced it.
func (m *Model) silentVoter() (voters int, silent uint64, since time.Duration) {
	for _, p := range m.peers {
		if p.Learner {
			continue
		}
		voters++
		if f := m.followers[p.ID]; f != nil && m.now-f.heardAt > since {
			silent, since = p.ID, m.now-f.heardAt
		}
	}
	return voters, silent, since
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
