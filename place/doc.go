// Package place assigns replication groups to control hosts: the fleet group, which
// replicates the fleet's state, and the claim groups, which replicate the claims of
// idempotency keys on three hosts each.
//
//	voters := place.Voters(place.FleetGroup, hosts)
//	group := place.GroupOf(key, 64)
//
// The number of claim groups of a fleet never changes, so a key always belongs to the
// same group. A group moves between hosts when hosts are added or removed.
package place
