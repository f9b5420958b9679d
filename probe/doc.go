// Package probe searches for an instance that admits a request. It probes some
// owners for a free slot, queues for a limited time at the one with the shortest
// queue, probes again, and gives up while the caller still has time to retry.
//
//	m, cmd := m.Update(probe.NextMsg{At: now})
//
// A Model handles one request.
package probe
