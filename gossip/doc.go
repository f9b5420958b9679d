// Package gossip keeps a node's view of the fleet current: it long-polls a control
// host and gossips with random peers. A view never goes back to an older revision.
//
//	m := gossip.New(gossip.Config{Node: "n1", Control: addrs})
//	m, cmds := m.Update(gossip.TickMsg{At: now})
//
// The model is not persisted.
package gossip
