// Package store is the replicated state machine: it applies commands in log
// order and gives the same result on every control host.
//
//	m := store.New(store.Config{})
//	m, result := m.Apply(store.Entry{Index: 1, At: now, Command: cmd})
//
// A model lives as long as the process; its snapshots outlive it.
package store
