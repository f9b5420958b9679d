// Package poison recognises a request that crashes each backend server that
// runs it: its fingerprint was in flight at two crashes of different instances
// and never seen to end well.
//
//	m := poison.New(poison.Config{})
//	m, cmds := m.Update(poison.CrashMsg{Instance: "a", Prints: prints, At: now})
//
// A model lives in a replicated state machine.
package poison
