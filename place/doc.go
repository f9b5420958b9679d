// Package place says which control hosts hold which replication group: the
// fleet's state on a few of them, and each group of idempotency keys on three.
//
//	voters := place.Voters(place.Claims(3, 64), hosts)
//	group := place.GroupOf(key, 64)
//
// Its values live as long as a host's settings. The number of groups never
// changes in a fleet's life, so a key never moves between groups; a group moves
// between hosts when hosts come and go.
package place
