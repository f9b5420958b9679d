// Package drain decides what a process still begins during a planned stop.
//
//	m = m.Update(drain.StopMsg{At: now})
//	ok := now < m.LastStart(durations.Long())
//
// A process that is told to stop goes on for some seconds, since its callers need time
// to leave and requests in flight need time to finish. What it has to offer meanwhile is
// used as long as the work can be expected to finish in time: a fleet that is restarted
// in turn would lose a large part of its capacity otherwise. A Model lasts as long as its
// process.
package drain
