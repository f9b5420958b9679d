package floor

import "time"

// Msg is a message to the arbiter.
type Msg interface{ floorMsg() }

// SetFloorMsg sets the minimum of healthy instances, as a number and as a share of
// the known ones; the greater one applies.
type SetFloorMsg struct {
	Floor int
	Share float64
	At    time.Duration
}

// JoinMsg adds an instance that is warmed up at log time WarmAt.
type JoinMsg struct {
	ID     string
	WarmAt time.Duration
}

// LeaveMsg reports that the instance takes no new work.
type LeaveMsg struct {
	ID string
	At time.Duration
}

// ReachabilityMsg reports whether the instance's host is unreachable.
type ReachabilityMsg struct {
	ID          string
	Unreachable bool
	At          time.Duration
}

// RemoveMsg removes an instance.
type RemoveMsg struct {
	ID string
	At time.Duration
}

// EjectMsg requests an ejection for a duration, or renews it. Confirm is how long the
// request must stand before it is granted, so that a cause shared by most instances
// can show.
type EjectMsg struct {
	ID      string
	At      time.Duration
	TTL     time.Duration
	Confirm time.Duration
}

// RestoreMsg ends an ejection.
type RestoreMsg struct{ ID string }

// ClockMsg ends the ejections whose lease has expired.
type ClockMsg struct{ At time.Duration }

func (SetFloorMsg) floorMsg()     {}
func (JoinMsg) floorMsg()         {}
func (LeaveMsg) floorMsg()        {}
func (ReachabilityMsg) floorMsg() {}
func (RemoveMsg) floorMsg()       {}
func (EjectMsg) floorMsg()        {}
func (RestoreMsg) floorMsg()      {}
func (ClockMsg) floorMsg()        {}

// Cmd is a decision of the arbiter.
type Cmd interface{ floorCmd() }

// GrantedCmd reports that the instance is ejected; Remaining counts the healthy
// instances left.
type GrantedCmd struct {
	ID        string
	Renewed   bool
	Remaining int
}

// RefusedCmd reports that the instance stays in service, and why.
type RefusedCmd struct {
	ID     string
	Reason Reason
}

// RestoredCmd reports that the instance is back in service.
type RestoredCmd struct{ ID string }

func (GrantedCmd) floorCmd()  {}
func (RefusedCmd) floorCmd()  {}
func (RestoredCmd) floorCmd() {}
