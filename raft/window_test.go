package raft

import (
	"testing"
	"time"
)

// TestBulkIsBounded guards against a leader that sends its whole log again and again to a
// follower that is slow to save it: the follower's memory, and the heartbeats and votes that
// wait behind it, bound what may be under way.
func TestBulkIsBounded(t *testing.T) {
	const (
		commands = 2000
		size     = 16 << 10
		silence  = 2 * time.Second
		// What is under way, and what is sent again, at most every few heartbeats.
		maxBytes = 8 << 20
	)
	c := newTestCluster(1, 3)
	c.runFor(3 * time.Second)
	leader := c.leader()
	r := c.replicas[leader]
	slow := c.ids()[0]
	if slow == leader {
		slow = c.ids()[1]
	}
	sent, largest := 0, 0
	count := func(cmds []Cmd) {
		for _, cmd := range cmds {
			send, ok := cmd.(SendCmd)
			if !ok {
				continue
			}
			a, ok := send.Body.(Append)
			if !ok || send.To.ID != slow {
				continue
			}
			bytes := 0
			for _, e := range a.Entries {
				bytes += len(e.Data)
			}
			sent += bytes
			largest = max(largest, bytes)
		}
	}
	model, now := r.model, c.now-r.startedAt
	for n := range commands {
		var cmds []Cmd
		model, cmds = model.Update(ProposeMsg{Proposals: []Proposal{{ID: uint64(n), Data: make([]byte, size)}}})
		count(cmds)
	}
	for end := now + silence; now < end; now += 10 * time.Millisecond {
		var cmds []Cmd
		model, cmds = model.Update(TickMsg{At: now})
		count(cmds)
		for _, id := range c.ids() {
			// Both followers reply, but none has saved anything yet.
			if id != leader {
				model, cmds = model.Update(ReceiveMsg{From: id, Body: AppendReply{Term: model.Term(), OK: true, Match: r.model.Commit()}})
				count(cmds)
			}
		}
	}
	t.Logf("%d bytes sent in %v, %d in one message", sent, silence, largest)
	if model.Role() != Leader || sent > maxBytes || largest > _maxAppendBytes {
		t.Errorf("role %v, %d bytes sent, at most %d; %d in one message, at most %d", model.Role(), sent, maxBytes, largest, _maxAppendBytes)
	}
}
