// Package store is the replicated state machine. It applies commands in log order,
// and the same log yields the same state and results on every control host.
//
//	m := store.New(store.Config{})
//	m, result := m.Apply(store.Entry{Index: 1, At: now, Command: cmd})
//
// The model is kept in memory; snapshots persist its state.
package store
