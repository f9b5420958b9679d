// Package gate implements admission control for the backend server instances
// of one node. It decides which attempts run and when, using concurrency slots,
// a short queue with a fair share for each customer and caller, slow start for cold
// instances, draining, ejection, a circuit breaker and revocation.
//
//	m := gate.New(gate.Config{})
//	m, cmds := m.Update(gate.AdmitMsg{ID: "lookup-1", Ref: ref, At: now, StartBy: deadline})
//
// A model lives as long as the process.
package gate
