// Package claim lets each idempotency key run at most once: a key is claimed
// before its request runs and settled with the answer that every repeat gets.
//
//	m := claim.New(claim.Config{Retention: 24 * time.Hour})
//	m, cmds := m.Update(claim.TakeMsg{Key: key, Holder: id, At: now, TTL: ttl})
//
// A model lives in a replicated state machine.
package claim
