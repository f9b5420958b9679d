package raft

import (
	"testing"
	"time"
)

// TestCurrent guards against a replica that says that its state is current although it
// lacks commits: nodes that pull from it would trust an old configuration.
func TestCurrent(t *testing.T) {
	follower := func() Model {
		m := New(Config{ID: 1}, State{Snapshot: Snapshot{Peers: []Peer{{ID: 1}, {ID: 2}, {ID: 3}}}})
		m, _ = m.Update(TickMsg{At: time.Second / 10})
		return m
	}
	heartbeat := func(m Model, a Append) Model {
		a.Term = 1
		m, _ = m.Update(ReceiveMsg{From: 2, Body: a})
		return m
	}
	entry := Entry{Index: 1, Term: 1}
	elected := func() Model {
		m, _ := follower().Update(TickMsg{At: 5 * time.Second})
		m, _ = m.Update(ReceiveMsg{From: 2, Body: VoteReply{Term: 1, Granted: true, Pre: true}})
		m, _ = m.Update(ReceiveMsg{From: 2, Body: VoteReply{Term: 1, Granted: true}})
		return m
	}
	tests := []struct {
		name  string
		model func() Model
		want  bool
	}{
		{"heard from no leader", follower, false},
		{"a follower that has all commits", func() Model {
			return heartbeat(follower(), Append{Entries: []Entry{entry}, Commit: 1})
		}, true},
		{"a follower that lacks a committed entry", func() Model {
			return heartbeat(follower(), Append{PrevIndex: 7, PrevTerm: 1, Commit: 7})
		}, false},
		{"a follower that waits for a snapshot", func() Model {
			return heartbeat(follower(), Append{Commit: 7})
		}, false},
		{"a leader that has committed nothing yet", elected, false},
		{"a leader with a quorum", func() Model {
			m, _ := elected().Update(ReceiveMsg{From: 2, Body: AppendReply{Term: 1, OK: true, Match: 1}})
			return m
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := test.model()
			if m.InTouch() != test.want {
				t.Errorf("current until %v at %v, want current: %t", m.CurrentUntil(), m.now, test.want)
			}
			// Without any further message, no replica stays current.
			if m.CurrentUntil() > m.now+_defaultElectionTimeout {
				t.Errorf("still current %v after the last message", m.CurrentUntil()-m.now)
			}
		})
	}
}
