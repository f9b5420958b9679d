package proto

import "github.com/damaskpitch/damaskpitch/flow"

// CauseOf returns the cause under which the bytes of a message and its reply are counted. A
// Pull counts as one from a control host.
func CauseOf(msg any) flow.Cause {
	switch msg.(type) {
	case AttemptQuery:
		return flow.Query
	case RelayQuery, Probe:
		return flow.Relay
	case Pull:
		return flow.Pull
	case Entrust:
		return flow.Gossip
	case Heartbeat:
		return flow.Heartbeat
	case Submit:
		return flow.Registration
	case Replicate, Join, Barrier:
		return flow.Replication
	case Report:
		return flow.Report
	}
	return flow.Other
}
