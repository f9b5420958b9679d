// Package raft replicates a log over a few hosts with disks: leader election
// with pre-vote and check-quorum, learners before voters, and reads that only
// a leader with a live quorum answers.
//
//	m := raft.New(raft.Config{ID: 1}, raft.State{})
//	m, cmds := m.Update(raft.TickMsg{At: now})
//
// The model does no I/O: its caller runs the commands in their order, and a
// SaveCmd is synced before the next command runs. A model lives as long as the
// process; its log outlives it.
package raft
