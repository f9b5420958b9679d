package spread

import (
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
)

// Source says whom a pull went to.
type Source uint8

const (
	// Control is a control host.
	Control Source = iota
	// Peer is another node.
	Peer
)

// Msg is a message to the model.
type Msg interface{ spreadMsg() }

// TickMsg tells the time since the process started.
type TickMsg struct{ At time.Duration }

// DeltaMsg is the answer to a pull.
type DeltaMsg struct {
	At     time.Duration
	Source Source
	Addr   string
	Delta  proto.Delta
}

// LocalInstancesMsg is this node and its instances when no control host took them.
type LocalInstancesMsg struct {
	At        time.Duration
	Member    view.Member
	Instances []view.Instance
}

// PullFailedMsg says that a pull had no answer.
type PullFailedMsg struct {
	At     time.Duration
	Source Source
	Addr   string
}

func (TickMsg) spreadMsg()           {}
func (DeltaMsg) spreadMsg()          {}
func (PullFailedMsg) spreadMsg()     {}
func (LocalInstancesMsg) spreadMsg() {}

// Cmd is what the model wants done.
type Cmd interface{ spreadCmd() }

// PullCmd asks a control host or a peer for news.
type PullCmd struct {
	Source Source
	Addr   string
	Pull   proto.Pull
}

// ViewChangedCmd says that the view moved, and which services changed; All says
// that any may have.
type ViewChangedCmd struct {
	Rev      uint64
	Services []string
	All      bool
}

// SourceRejectedCmd says that a source was refused: it belongs to another fleet.
type SourceRejectedCmd struct {
	Addr    string
	Cluster uint64
}

func (PullCmd) spreadCmd()           {}
func (ViewChangedCmd) spreadCmd()    {}
func (SourceRejectedCmd) spreadCmd() {}
