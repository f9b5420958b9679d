// Package raft is an implementation of the Raft consensus algorithm with
// pre-vote, check-quorum, learners, and linearizable reads that the leader
// confirms with a quorum.
//
//	m := raft.New(raft.Config{ID: 1}, raft.State{})
//	m, cmds := m.Update(raft.TickMsg{At: now})
//
// The model performs no I/O. The caller executes the returned commands in order
// and must sync a SaveCmd to disk before executing the next command. With a Pipeline it
// goes on while a write is under way. The model is
// kept in memory; New restores it from the stored state.
package raft
