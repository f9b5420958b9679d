// Package retry decides whether a failed attempt may be retried or hedged. An
// attempt is retried only if it was provably not executed or the request is
// idempotent, and only within the service's retry budget.
//
//	b, ok := b.TakeRetry(quota, now)
//	next := retry.Decide(retry.Attempt{Execution: retry.NotExecuted, Attempts: 1})
//
// An Attempt describes one request, and a Budget lasts as long as the process.
package retry
