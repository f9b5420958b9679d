// Package ledger records which attempts have started at an owner, so that the
// owner can guarantee that an attempt has not run and never will.
//
//	l := ledger.New(ledger.Config{Retention: time.Minute})
//	state := l.Open(ref)
//
// Records outlive their requests. The ledger lives as long as the process, and
// every attempt names the epoch of the process it is sent to.
package ledger
