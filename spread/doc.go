// Package spread keeps a node's view of the fleet: it follows a control host,
// compares notes with random peers, and only ever moves forward.
//
//	m := spread.New(spread.Config{Node: "n1", Control: addrs})
//	m, cmds := m.Update(spread.TickMsg{At: now})
//
// A model lives as long as the process.
package spread
