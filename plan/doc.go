// Package plan defines the desired configuration of a fleet as one versioned
// document of routes, services, customers and limits, replaced as a whole or by patches.
//
//	next, err := current.ApplyChecked(patch)
//
// Plans and patches are immutable.
package plan
