package pulse

import "time"

// Msg is a message to the detector.
type Msg interface{ pulseMsg() }

// BeatMsg is a member's heartbeat.
type BeatMsg struct {
	Node   string
	Center string
	Epoch  uint64
	At     time.Duration
}

// ReportMsg says whether another member reached the suspect.
type ReportMsg struct {
	Node    string
	Epoch   uint64
	By      string
	Reached bool
	At      time.Duration
}

// GoneMsg forgets a member.
type GoneMsg struct{ Node string }

// ClockMsg tells the time.
type ClockMsg struct{ At time.Duration }

func (BeatMsg) pulseMsg()   {}
func (ReportMsg) pulseMsg() {}
func (GoneMsg) pulseMsg()   {}
func (ClockMsg) pulseMsg()  {}

// Cmd is what the detector decided.
type Cmd interface{ pulseCmd() }

// AskCmd asks a member to probe the suspect.
type AskCmd struct {
	Node  string
	Epoch uint64
	By    string
}

// LostCmd says that a member is unreachable.
type LostCmd struct {
	Node  string
	Epoch uint64
}

// BackCmd says that a member is reachable again.
type BackCmd struct {
	Node  string
	Epoch uint64
}

// RemoveCmd says that a member was lost for so long that it is removed.
type RemoveCmd struct {
	Node  string
	Epoch uint64
}

func (AskCmd) pulseCmd()    {}
func (LostCmd) pulseCmd()   {}
func (BackCmd) pulseCmd()   {}
func (RemoveCmd) pulseCmd() {}
