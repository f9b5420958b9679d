// Package claim ensures that the request of an idempotency key runs at most once.
// A key is claimed before its request runs and settled with the response, which
// is returned for every repeated request.
//
//	m := claim.New(claim.Config{Retention: 24 * time.Hour})
//	m, cmds := m.Update(claim.AcquireMsg{Key: key, Holder: id, At: now, TTL: ttl})
//
// The model is part of a replicated state machine.
package claim
