// Package floor decides which ejections a service can afford: it keeps the
// count of healthy instances and grants an ejection, as a lease, only when the
// rest still meets the service's floor.
//
//	m := floor.New(6)
//	m, cmds := m.Update(floor.EjectMsg{ID: "a", At: now, TTL: ttl})
//
// A model lives as long as the process, or in a replicated state machine.
package floor
