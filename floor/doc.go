// Package floor limits the ejections of a service: it counts the healthy
// instances and grants an ejection, as a lease, only if the remaining ones still
// meet the service's minimum, its floor.
//
//	m := floor.New(6)
//	m, cmds := m.Update(floor.EjectMsg{ID: "a", At: now, TTL: ttl})
//
// The model is kept in memory or is part of a replicated state machine.
package floor
