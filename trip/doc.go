// Package trip decides the course of one request at its ingress: claim the
// idempotency key, attempt, find out what became of an attempt that was not
// answered, attempt again only where that is safe, and tell the caller the
// truth.
//
//	m := trip.New(trip.Config{Once: true, Key: key, Replayable: true})
//	m, cmds := m.Update(trip.BeginMsg{})
//
// A model lives as long as its request.
package trip
