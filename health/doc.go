// Package health is a failure detector for the members of a cluster. A member without
// heartbeats is suspected and becomes unreachable once other members cannot reach it
// either. If most members are silent at once, the detector marks none of them, since
// the fault is likely to be local.
//
//	m := health.New(health.Config{SuspectAfter: 6 * time.Second})
//	m, cmds := m.Update(health.TickMsg{At: now})
//
// A Model lasts for one leader's term.
package health
