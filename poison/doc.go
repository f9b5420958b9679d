// Package poison detects requests that crash every backend server that runs
// them: such a request's fingerprint was in flight at the crashes of two different
// instances and was never seen to complete.
//
//	m := poison.New(poison.Config{})
//	m, cmds := m.Update(poison.CrashMsg{Instance: "a", Fingerprints: fingerprints, At: now})
//
// A model lives in a replicated state machine.
package poison
