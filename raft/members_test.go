package raft

import (
	"testing"
	"time"
)

// TestSurplus checks that a permanently lost voter is removed, but only once an
// empty replica of another name has joined and there is a surplus of voters.
func TestSurplus(t *testing.T) {
	c := newTestCluster(11, 5)
	for _, r := range c.replicas {
		r.model.cfg.TargetVoters = 5
	}
	c.runFor(3 * time.Second)
	c.propose(c.leader())
	lost := uint64(1)
	if c.leader() == lost {
		lost = 2
	}
	c.replicas[lost].down = true
	c.runFor(5 * time.Second)
	if peers := c.replicas[c.leader()].model.Peers(); len(peers) != 5 {
		t.Fatalf("a voter was removed without a surplus: %+v", peers)
	}
	c.add(9, State{})
	c.replicas[9].model.cfg.TargetVoters = 5
	c.update(c.leader(), AddPeerMsg{Peer: Peer{ID: 9, Name: "c9", Addr: "x"}})
	c.runFor(5 * time.Second)
	leader := c.replicas[c.leader()].model
	if peers := leader.Peers(); len(peers) != 5 || containsPeer(peers, lost) || !leader.isVoter(9) {
		t.Fatalf("peers after the replacement joined: %+v", peers)
	}
	// A removed voter that was only partitioned may rejoin.
	c.replicas[lost].down = false
	c.update(c.leader(), AddPeerMsg{Peer: Peer{ID: lost, Name: "c1", Addr: "x"}})
	c.runFor(3 * time.Second)
	if leader := c.replicas[c.leader()].model; !leader.isVoter(lost) || c.violation != nil {
		t.Fatalf("peers after the removed voter rejoined: %+v, %v", leader.Peers(), c.violation)
	}
}
