// Package poison detects requests that crash every backend server that runs
// them: such a request's fingerprint was in flight at the crashes of two different
// instances and had not recently completed.
//
//	m := poison.New(poison.Config{})
//	m, cmds := m.Update(poison.CrashMsg{Instance: "a", Fingerprints: fingerprints, At: now})
//
// The model is part of a replicated state machine.
package poison
