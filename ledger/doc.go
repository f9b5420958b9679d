// Package ledger remembers which attempts started, so that an owner can say
// truthfully that an attempt was not run and never will be.
//
//	l := ledger.New(ledger.Config{Retention: time.Minute})
//	state := l.Open(ref, now)
//
// Its records live longer than their requests; the ledger lives as long as the
// process, whose epoch every attempt names.
package ledger
