package proto

import (
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// Pull asks for what changed after a revision and waits for news for a while.
type Pull struct {
	Node    string        `json:"node,omitempty"`
	Cluster uint64        `json:"cluster,omitempty"`
	Rev     uint64        `json:"rev"`
	Wait    time.Duration `json:"wait,omitempty"`
}

// Delta answers a Pull: the events after From, or the whole snapshot.
type Delta struct {
	Cluster  uint64         `json:"cluster"`
	From     uint64         `json:"from"`
	Rev      uint64         `json:"rev"`
	Events   []view.Event   `json:"events,omitempty"`
	Snapshot *view.Snapshot `json:"snapshot,omitempty"`
	// Control are the addresses of the control hosts, if the answer tells them.
	Control []string `json:"control,omitempty"`
	// Rumors are what nodes tell each other while control is away.
	Rumors []Rumor `json:"rumors,omitempty"`
}

// Rumor is an instance that its node could not announce to a control host;
// Stamp orders the rumors of one start of the node.
type Rumor struct {
	Member   view.Member   `json:"member"`
	Stamp    uint64        `json:"stamp"`
	Instance view.Instance `json:"instance"`
}

// Key returns the instance's name within the fleet.
func (r Rumor) Key() view.Key {
	return view.Key{Node: r.Member.Node, ID: r.Instance.ID}
}

// After reports whether the rumor is newer than another one of its instance.
func (r Rumor) After(other Rumor) bool {
	if r.Member.Epoch != other.Member.Epoch {
		return r.Member.Epoch > other.Member.Epoch
	}
	return r.Stamp > other.Stamp
}

// Check returns a FieldError for the first field that is wrong.
func (r Rumor) Check() error {
	if err := r.Member.Check(); err != nil {
		return err
	}
	return r.Instance.Check()
}

// Check returns a FieldError for the first rumor that is wrong.
func (d Delta) Check() error {
	for _, r := range d.Rumors {
		if err := r.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Beat renews a member's lease and says what it holds.
type Beat struct {
	Node   string `json:"node"`
	Epoch  uint64 `json:"epoch"`
	Rev    uint64 `json:"rev"`
	Digest uint64 `json:"digest"`
	Leave  bool   `json:"leave,omitempty"`
}

// BeatReply says whether the control hosts know the member as it is.
type BeatReply struct {
	Known  bool   `json:"known"`
	Led    bool   `json:"led"`
	Leader string `json:"leader,omitempty"`
}

// Submit asks to run a command in a replication group.
type Submit struct {
	Group   uint32 `json:"group,omitempty"`
	Command any    `json:"command"`
}

// Outcome is a command's result, or Leader to ask instead; None says that the
// command had no effect.
type Outcome struct {
	None   bool   `json:"none,omitempty"`
	Result any    `json:"result,omitempty"`
	Leader string `json:"leader,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Barrier asks at which index the state is current.
type Barrier struct {
	Group uint32 `json:"group,omitempty"`
}

// Current answers a Barrier.
type Current struct {
	Index uint64 `json:"index"`
}

// Census asks the leader which revision each node has in force.
type Census struct{}

// Holding answers a Census.
type Holding struct {
	Nodes []Held `json:"nodes"`
}

// Held is the revision that one node has in force, and how old the news is.
type Held struct {
	Node string        `json:"node"`
	Rev  uint64        `json:"rev"`
	Age  time.Duration `json:"age"`
}

// Hello asks a process who it is, and a control host whether it belongs to a
// replication group.
type Hello struct {
	Group uint32 `json:"group,omitempty"`
}

// Greeting answers a Hello; Member says that the host belongs to the group, and
// Addrs are where the group's other hosts are, as far as this one knows.
type Greeting struct {
	ID     uint64   `json:"id"`
	Name   string   `json:"name"`
	Member bool     `json:"member"`
	Addrs  []string `json:"addrs,omitempty"`
}

// Join asks to add a control host to a replication group.
type Join struct {
	Group uint32    `json:"group,omitempty"`
	Peer  raft.Peer `json:"peer"`
}

// Replicate carries replication messages.
type Replicate struct {
	Envelopes []raft.Envelope `json:"envelopes"`
}

// Probe asks a node to see whether it reaches another one.
type Probe struct {
	Addr string `json:"addr"`
}

// Probed answers a Probe.
type Probed struct {
	Reached bool `json:"reached"`
}

// Inquire asks an owner about an attempt; Revoke forbids it to start.
type Inquire struct {
	Attempt  ledger.Ref `json:"attempt"`
	Instance string     `json:"instance"`
	Owner    uint64     `json:"owner"`
	Revoke   bool       `json:"revoke"`
}

// Relay asks a node to put a question to an owner that the asker cannot reach.
type Relay struct {
	Addr string  `json:"addr"`
	Ask  Inquire `json:"ask"`
}

// Fate answers an Inquire.
type Fate struct {
	State ledger.State `json:"state"`
}

// TakeOver asks a running node for what its successor needs.
type TakeOver struct{}

// Handover answers a TakeOver.
type Handover struct {
	Epoch  uint64        `json:"epoch"`
	Leases []Lease       `json:"leases"`
	View   view.Snapshot `json:"view"`
}

// Lease is an announced instance and how long its lease still holds.
type Lease struct {
	Instance view.Instance `json:"instance"`
	Left     time.Duration `json:"left"`
}

// Ack is the answer to a message that asks nothing.
type Ack struct{}

// Codec carries every message between the system's processes.
var Codec = wire.NewCodec(types()...)

func types() []any {
	list := append(view.Types(), store.Types()...)
	list = append(list, raft.Types()...)
	list = append(list,
		Pull{}, Delta{}, Beat{}, BeatReply{}, Submit{}, Outcome{}, Barrier{}, Current{},
		Census{}, Holding{}, Hello{}, Greeting{}, Join{}, Replicate{}, Probe{}, Probed{},
		Inquire{}, Fate{}, Ack{}, TakeOver{}, Handover{}, store.WrongGroup{},
	)
	list = append(list, store.LaterTypes()...)
	return append(list, Relay{})
}
