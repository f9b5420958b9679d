package floor

import "time"

// Msg is a message to the arbiter.
type Msg interface{ floorMsg() }

// LimitMsg sets the floor, in instances.
type LimitMsg struct{ Floor int }

// JoinMsg adds an instance that has all its slots at log time Warm.
type JoinMsg struct {
	ID   string
	Warm time.Duration
}

// LeaveMsg says that the instance takes no new work.
type LeaveMsg struct{ ID string }

// ReachMsg says whether the instance's host is lost.
type ReachMsg struct {
	ID   string
	Lost bool
}

// GoneMsg removes the instance.
type GoneMsg struct{ ID string }

// EjectMsg asks for an ejection, or renews it, for the given time; Confirm is
// how long the question must stand, so that a cause that most instances share
// shows itself.
type EjectMsg struct {
	ID      string
	At      time.Duration
	TTL     time.Duration
	Confirm time.Duration
}

// RestoreMsg ends an ejection.
type RestoreMsg struct{ ID string }

// ClockMsg ends the ejections whose lease ran out.
type ClockMsg struct{ At time.Duration }

func (LimitMsg) floorMsg()   {}
func (JoinMsg) floorMsg()    {}
func (LeaveMsg) floorMsg()   {}
func (ReachMsg) floorMsg()   {}
func (GoneMsg) floorMsg()    {}
func (EjectMsg) floorMsg()   {}
func (RestoreMsg) floorMsg() {}
func (ClockMsg) floorMsg()   {}

// Cmd is what the arbiter decided.
type Cmd interface{ floorCmd() }

// GrantedCmd says that the instance is ejected; Left are the healthy ones.
type GrantedCmd struct {
	ID      string
	Renewed bool
	Left    int
}

// RefusedCmd says that the instance stays in service, and why.
type RefusedCmd struct {
	ID     string
	Reason Reason
}

// RestoredCmd says that the instance is back in service.
type RestoredCmd struct{ ID string }

func (GrantedCmd) floorCmd()  {}
func (RefusedCmd) floorCmd()  {}
func (RestoredCmd) floorCmd() {}
