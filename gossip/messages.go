package gossip

import (
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
)

// Source is the kind of host that a pull is sent to.
type Source uint8

const (
	// Control is a control host.
	Control Source = iota
	// Peer is another node.
	Peer
)

// String returns the source as it stands in logs.
func (s Source) String() string {
	if s == Peer {
		return "peer"
	}
	return "control"
}

// Msg is an input of the model.
type Msg interface{ gossipMsg() }

// TickMsg carries the time since the process started.
type TickMsg struct{ At time.Duration }

// DeltaMsg is the reply to a pull.
type DeltaMsg struct {
	At     time.Duration
	Source Source
	Addr   string
	Delta  proto.Delta
	// Center is the data centre of a control host, or "" if it is unknown.
	Center string
}

// LocalInstancesMsg carries this node and its instances while no control host
// accepts their registration.
type LocalInstancesMsg struct {
	At        time.Duration
	Member    view.Member
	Instances []view.Instance
}

// RumorMsg is a rumor that another node has sent unasked.
type RumorMsg struct {
	At    time.Duration
	Rumor proto.Rumor
}

// PullProgressMsg reports that another part of the reply to a pull has arrived.
type PullProgressMsg struct {
	At     time.Duration
	Source Source
	Addr   string
}

// PullFailedMsg reports that a pull failed.
type PullFailedMsg struct {
	At     time.Duration
	Source Source
	Addr   string
}

func (TickMsg) gossipMsg()           {}
func (DeltaMsg) gossipMsg()          {}
func (PullProgressMsg) gossipMsg()   {}
func (PullFailedMsg) gossipMsg()     {}
func (LocalInstancesMsg) gossipMsg() {}
func (RumorMsg) gossipMsg()          {}

// Cmd is an action that the model requests from its caller.
type Cmd interface{ gossipCmd() }

// PullCmd requests the changes since a revision from a control host or a peer.
type PullCmd struct {
	Source Source
	Addr   string
	Pull   proto.Pull
	// NewConn asks for a new connection, since open ones may have gone silent.
	NewConn bool
}

// ViewChangedCmd reports that the view or the rumors changed, and for which services.
// All means that any service may have changed.
type ViewChangedCmd struct {
	Rev      uint64
	Services []string
	All      bool
}

// SourceRejectedCmd reports that a reply was rejected because its source belongs
// to another cluster.
type SourceRejectedCmd struct {
	Addr    string
	Cluster uint64
}

func (PullCmd) gossipCmd()           {}
func (ViewChangedCmd) gossipCmd()    {}
func (SourceRejectedCmd) gossipCmd() {}
