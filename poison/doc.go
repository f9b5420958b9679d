// Package poison detects requests that crash every backend server that runs
// them. A request is suspected when it was in flight at a crash. Each crash counts
// against it and each run that completes, at any instance of the fleet, counts for it,
// as in a CUSUM test. A request with two crashes more than completions is banned: for
// a short time callers are asked to come back while the owners look for completed
// runs, then requests are refused, and single trial requests may end the ban.
//
//	m := poison.New(poison.Config{})
//	m, cmds := m.Update(poison.CrashMsg{Life: "a@1", Fingerprints: fingerprints, At: now})
//	m, cmds = m.Update(poison.CompletedMsg{Fingerprint: fingerprints[0], At: now})
//
// The model is part of a replicated state machine.
package poison
