package flow

// Cause is the reason why bytes are exchanged.
type Cause uint8

const (
	// Undecided means that the cause becomes known only with the response.
	Undecided Cause = iota
	// Run is an attempt that reached an instance, with its response.
	Run
	// Refused is an attempt that reached no instance, with its refusal.
	Refused
	// Lost is an attempt without a response.
	Lost
	// Query asks an owner for the state of an attempt.
	Query
	// Relay asks another node to query an owner, or to probe a node.
	Relay
	// Pull fetches the view from a control host.
	Pull
	// Gossip fetches the view from a node, or hands news to one.
	Gossip
	// Heartbeat renews a member's lease.
	Heartbeat
	// Registration submits a command to a control host.
	Registration
	// Replication passes the log between control hosts.
	Replication
	// Report tells the leader the use of customers' caps, and confirms the plan's version.
	Report
	// Other is any other message.
	Other

	_causes
)

// String returns the name of the cause in metrics and logs.
func (c Cause) String() string {
	names := [_causes]string{
		"undecided", "run", "refused", "lost", "query", "relay", "pull", "gossip", "heartbeat", "registration",
		"replication", "report", "other",
	}
	return names[min(c, _causes-1)]
}
