package health

import "time"

// Msg is a message to the detector.
type Msg interface{ healthMsg() }

// HeartbeatMsg reports a heartbeat of a member.
type HeartbeatMsg struct {
	Node   string
	Center string
	Epoch  uint64
	At     time.Duration
}

// ProbeResultMsg reports whether another member reached a suspect.
type ProbeResultMsg struct {
	Node    string
	Epoch   uint64
	Prober  string
	Reached bool
	At      time.Duration
}

// RemovedMsg reports that a member was removed.
type RemovedMsg struct{ Node string }

// TickMsg triggers a check of all members.
type TickMsg struct{ At time.Duration }

func (HeartbeatMsg) healthMsg()   {}
func (ProbeResultMsg) healthMsg() {}
func (RemovedMsg) healthMsg()     {}
func (TickMsg) healthMsg()        {}

// Cmd is an action requested by the detector.
type Cmd interface{ healthCmd() }

// ProbeCmd requests that one member probes a suspect.
type ProbeCmd struct {
	Node   string
	Epoch  uint64
	Prober string
}

// UnreachableCmd marks a member as unreachable.
type UnreachableCmd struct {
	Node  string
	Epoch uint64
}

// ReachableCmd marks a member as reachable again.
type ReachableCmd struct {
	Node  string
	Epoch uint64
}

// RemoveCmd removes a member that was unreachable for too long.
type RemoveCmd struct {
	Node  string
	Epoch uint64
}

func (ProbeCmd) healthCmd()       {}
func (UnreachableCmd) healthCmd() {}
func (ReachableCmd) healthCmd()   {}
func (RemoveCmd) healthCmd()      {}
