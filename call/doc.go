// Package call is the state machine of one request at its ingress. It claims the
// idempotency key, sends attempts, asks the owner about an attempt without a
// response, retries only where that is safe, and reports to the caller whether the
// request ran.
//
//	m := call.New(call.Config{Once: true, Key: key, Replayable: true})
//	m, cmds := m.Update(call.BeginMsg{})
//
// A model lives as long as its request.
package call
