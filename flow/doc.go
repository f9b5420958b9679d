// Package flow counts the bytes that a process exchanges with other data centres, by
// cause and data centre.
//
//	table := flow.NewTable("mida", scope)
//	conn := table.Wrap(dialed, "kilifi")
//	conn.Begin(flow.Heartbeat)
//
// A table lives as long as the process, and a connection as long as the one it wraps.
package flow
