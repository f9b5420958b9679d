// Package chain decides how many requests of a kind to admit when their kind calls other
// services while it holds a slot. A Learner on the node beside an instance finds which
// services a kind calls and how many of these calls fail; a Throttle at each ingress
// turns the owners' reports into the share of requests that is admitted.
//
//	throttle, retryAfter, ok := throttle.Admits(rand.Float64(), now)
//
// Models live as long as the process.
package chain
