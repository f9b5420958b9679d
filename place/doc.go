// Package place assigns replication groups to control hosts: the fleet group, which
// replicates the fleet's state, and the groups of idempotency keys, with three
// hosts each.
//
//	voters := place.Voters(place.FleetGroup, hosts)
//	group := place.GroupOf(key, 64)
//
// The number of claim groups never changes during the life of a fleet, so a key
// always belongs to the same group. A group moves between hosts when hosts are
// added or removed.
package place
