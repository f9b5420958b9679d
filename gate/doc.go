// Package gate decides at an owner which attempts a backend server runs, and
// when: slots, a short queue with a fair share for each caller, the ramp of a
// cold instance, leaving, ejection and revocation.
//
//	m := gate.New(gate.Config{})
//	m, cmds := m.Update(gate.AdmitMsg{ID: "lookup-1", Ref: ref, At: now, Until: deadline})
//
// A model lives as long as the process.
package gate
