// Package spread keeps a node's view of the fleet current: it long-polls a control
// host and gossips with random peers. A view never goes back to an older revision.
//
//	m := spread.New(spread.Config{Node: "n1", Control: addrs})
//	m, cmds := m.Update(spread.TickMsg{At: now})
//
// The model is not persisted.
package spread
