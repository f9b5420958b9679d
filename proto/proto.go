package proto

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/quota"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// Pull requests the changes after revision Rev. If there are none yet, the
// receiver waits for up to Wait before it replies. Head asks for the revision alone, which
// tells whether there are changes to pull.
type Pull struct {
	Node    string        `json:"node,omitempty"`
	Cluster uint64        `json:"cluster,omitempty"`
	Rev     uint64        `json:"rev"`
	Wait    time.Duration `json:"wait,omitempty"`
	Head    bool          `json:"head,omitempty"`
}

// Delta is the reply to Pull: the events after From, or a full snapshot.
type Delta struct {
	Cluster  uint64         `json:"cluster"`
	From     uint64         `json:"from"`
	Rev      uint64         `json:"rev"`
	Events   []view.Event   `json:"events,omitempty"`
	Snapshot *view.Snapshot `json:"snapshot,omitempty"`
	// Control lists the addresses of the control hosts, if the sender includes
	// them.
	Control []string `json:"control,omitempty"`
	// Current reports whether the sender is a control host in touch with a leader.
	Current bool `json:"current,omitempty"`
	// Rumors is what nodes gossip while no control host is reachable.
	Rumors []Rumor `json:"rumors,omitempty"`
}

// Rumor is an instance that its node could not register with a control host.
// Timestamp orders the rumors of one epoch of the node.
type Rumor struct {
	Member    view.Member   `json:"member"`
	Timestamp uint64        `json:"stamp"`
	Instance  view.Instance `json:"instance"`
}

// Key returns the key that identifies the instance within the fleet.
func (r Rumor) Key() view.Key {
	return view.Key{Node: r.Member.Node, ID: r.Instance.ID}
}

// Departure returns the start of an instance that the rumor says has left, and whether it
// says so.
func (r Rumor) Departure() (int64, bool) {
	return r.Instance.Born, r.Instance.Leaving && r.Instance.Born > 0
}

// NewerThan reports whether r supersedes other, a rumor about the same instance.
func (r Rumor) NewerThan(other Rumor) bool {
	if r.Member.Epoch != other.Member.Epoch {
		return r.Member.Epoch > other.Member.Epoch
	}
	return r.Timestamp > other.Timestamp
}

// Check returns a FieldError for the first invalid field.
func (r Rumor) Check() error {
	if err := r.Member.Check(); err != nil {
		return err
	}
	return r.Instance.Check()
}

// Heartbeat renews a member's lease. It carries the revision that the member has
// applied and a digest of its instances.
type Heartbeat struct {
	Node   string `json:"node"`
	Epoch  uint64 `json:"epoch"`
	Rev    uint64 `json:"rev"`
	Digest uint64 `json:"digest"`
	Leave  bool   `json:"leave,omitempty"`
	// Flows is what the node tells of its busiest services, and FlowTime the time since the
	// previous heartbeat.
	Flows    []ServiceFlow `json:"flows,omitempty"`
	FlowTime time.Duration `json:"time,omitempty"`
}

// HeartbeatReply is the reply to Heartbeat. Known is set if the control hosts
// have the member with the same epoch and digest; FromLeader is set if the
// leader replied, and otherwise Known is meaningless.
type HeartbeatReply struct {
	Known      bool   `json:"known"`
	FromLeader bool   `json:"led"`
	Leader     string `json:"leader,omitempty"`
}

// Submit requests to run a command in a replication group.
type Submit struct {
	Group   uint32 `json:"group,omitempty"`
	Command any    `json:"command"`
}

// SubmitReply is the reply to Submit: the command's result, or the leader to send
// it to instead. NoEffect is set if the command certainly was not applied.
type SubmitReply struct {
	NoEffect bool   `json:"none,omitempty"`
	Result   any    `json:"result,omitempty"`
	Leader   string `json:"leader,omitempty"`
	Error    string `json:"error,omitempty"`
}

// Barrier requests the log index up to which a reader must have applied entries
// to see current state.
type Barrier struct {
	Group uint32 `json:"group,omitempty"`
}

// BarrierReply is the reply to Barrier.
type BarrierReply struct {
	Index uint64 `json:"index"`
}

// ListRevisions asks the leader which revision each node has applied.
type ListRevisions struct{}

// ListRevisionsReply is the reply to ListRevisions.
type ListRevisionsReply struct {
	Nodes []AppliedRevision `json:"nodes"`
}

// AppliedRevision is the revision that a node has applied, and the age of that report.
type AppliedRevision struct {
	Node string        `json:"node"`
	Rev  uint64        `json:"rev"`
	Age  time.Duration `json:"age"`
}

// Hello asks a process for its identity, and a control host whether it belongs
// to a replication group.
type Hello struct {
	Group uint32 `json:"group,omitempty"`
}

// HelloReply is the reply to Hello. Member is set if the host belongs to the
// group; Addrs lists the group's other hosts that this one knows.
type HelloReply struct {
	ID     uint64   `json:"id"`
	Name   string   `json:"name"`
	Member bool     `json:"member"`
	Addrs  []string `json:"addrs,omitempty"`
}

// Join requests to add a control host to a replication group.
type Join struct {
	Group uint32    `json:"group,omitempty"`
	Peer  raft.Peer `json:"peer"`
}

// Replicate carries a batch of replication messages.
type Replicate struct {
	Envelopes []raft.Envelope `json:"envelopes"`
	// WantReplies asks for the replies as a ReplicateReply, as far as they come soon.
	WantReplies bool `json:"replies,omitempty"`
}

// ReplicateReply carries the replies to the messages of a Replicate.
type ReplicateReply struct {
	Envelopes []raft.Envelope `json:"envelopes"`
}

// Probe asks a node to check whether it can reach another one.
type Probe struct {
	Addr string `json:"addr"`
}

// ProbeReply is the reply to Probe.
type ProbeReply struct {
	Reached bool `json:"reached"`
}

// AttemptQuery asks the node that owns an instance for the state of an attempt.
// OwnerEpoch is that node's epoch; Revoke prevents the attempt from starting.
type AttemptQuery struct {
	Attempt    ledger.Ref `json:"attempt"`
	Instance   string     `json:"instance"`
	OwnerEpoch uint64     `json:"owner"`
	Revoke     bool       `json:"revoke"`
	// Response asks for the response of an attempt that has finished.
	Response bool `json:"response,omitempty"`
}

// RelayQuery asks a node to forward a query to an owner that the sender cannot
// reach.
type RelayQuery struct {
	Addr  string       `json:"addr"`
	Query AttemptQuery `json:"ask"`
}

// AttemptStatus is the reply to AttemptQuery.
type AttemptStatus struct {
	State ledger.State `json:"state"`
	// Response is the response of a finished attempt, if it was asked for and the owner
	// still has it.
	Response *StoredResponse `json:"response,omitempty"`
}

// StoredResponse is a response that an owner keeps for an ingress that has lost it. Header
// has the fields whose values are UTF-8, and Other the rest.
type StoredResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header"`
	Other  []claim.Header      `json:"other,omitempty"`
	Body   []byte              `json:"body"`
}

// NewStoredResponse returns a response to store.
func NewStoredResponse(status int, header http.Header, body []byte) StoredResponse {
	r := StoredResponse{Status: status, Header: make(map[string][]string, len(header)), Body: body}
	invalid := func(value string) bool { return !utf8.ValidString(value) }
	for name, values := range header {
		if !slices.ContainsFunc(values, invalid) {
			r.Header[name] = slices.Clone(values)
			continue
		}
		for _, value := range values {
			r.Other = append(r.Other, claim.NewHeader(name, value))
		}
	}
	return r
}

// HTTPHeader returns the header of the response.
func (r StoredResponse) HTTPHeader() http.Header {
	header := make(http.Header, len(r.Header)+len(r.Other))
	maps.Copy(header, r.Header)
	for _, h := range r.Other {
		header[h.Name] = append(header[h.Name], h.Text())
	}
	return header
}

// Check returns a FieldError for the first invalid field.
func (r StoredResponse) Check() error {
	const minStatus, maxStatus = 200, 599
	if r.Status < minStatus || r.Status > maxStatus {
		return &spec.FieldError{Field: "StoredResponse.status", Value: strconv.Itoa(r.Status), Want: "200 to 599"}
	}
	return nil
}

// Check returns a FieldError for the first invalid field.
func (s AttemptStatus) Check() error {
	if s.Response == nil {
		return nil
	}
	return s.Response.Check()
}

// Entrust asks a node to remember that another node's instance has said that it leaves,
// while no control host can record it.
type Entrust struct {
	Rumor Rumor `json:"rumor"`
}

// Check returns a FieldError for the first invalid field.
func (e Entrust) Check() error {
	return e.Rumor.Check()
}

// TakeOver asks a running node for the state that its successor needs.
type TakeOver struct{}

// Handover is the reply to TakeOver.
type Handover struct {
	Epoch  uint64        `json:"epoch"`
	Leases []Lease       `json:"leases"`
	View   view.Snapshot `json:"view"`
}

// Lease is an announced instance and the remaining time of its lease.
type Lease struct {
	Instance  view.Instance `json:"instance"`
	Remaining time.Duration `json:"left"`
}

// Report tells the leader a node's use of customers' tokens. Version is that of the node's
// plan.
type Report struct {
	Node    string       `json:"node"`
	Epoch   uint64       `json:"epoch"`
	Seq     uint64       `json:"seq"`
	Version uint64       `json:"version"`
	Needs   []quota.Need `json:"needs,omitempty"`
}

// Check returns a FieldError for the first invalid field.
func (r Report) Check() error {
	const maxNeeds = 4096
	if len(r.Needs) > maxNeeds {
		return &spec.FieldError{Field: "Report.needs", Value: strconv.Itoa(len(r.Needs)), Want: "at most 4096"}
	}
	for _, n := range r.Needs {
		if err := n.Check(); err != nil {
			return err
		}
	}
	return nil
}

// ReportReply is the reply to Report: the leader's answer, with the version of the plan
// that was the latest after the report arrived, or the leader to send it to instead. The
// fields after Version are those of quota.Answer.
type ReportReply struct {
	FromLeader bool          `json:"led"`
	Leader     string        `json:"leader,omitempty"`
	Version    uint64        `json:"version,omitempty"`
	Term       uint64        `json:"term,omitempty"`
	WaitLeft   time.Duration `json:"wait,omitempty"`
	Grants     []quota.Grant `json:"grants,omitempty"`
	Tight      []uint32      `json:"tight,omitempty"`
	AllTight   bool          `json:"allTight,omitempty"`
	Ignored    bool          `json:"ignored,omitempty"`
}

// Answer returns the quota's part of the reply.
func (r ReportReply) Answer() quota.Answer {
	return quota.Answer{
		Term: r.Term, WaitLeft: r.WaitLeft, Grants: r.Grants, Tight: r.Tight, AllTight: r.AllTight, Ignored: r.Ignored,
	}
}

// ListUsages asks the leader for the use that customers make of their caps.
type ListUsages struct{}

// ListUsagesReply is the reply to ListUsages. Since is how long the leader has counted.
type ListUsagesReply struct {
	Since  time.Duration `json:"since"`
	Usages []quota.Usage `json:"usages"`
}

// Standings tells the other control hosts what is left in customers' buckets, in case that
// one of them becomes the leader.
type Standings struct {
	Term uint64           `json:"term"`
	List []quota.Standing `json:"list"`
}

// Check returns a FieldError for the first invalid field.
func (s Standings) Check() error {
	for _, standing := range s.List {
		if standing.Leased < 0 {
			return &spec.FieldError{Field: "Standings.leased", Value: strconv.FormatInt(standing.Leased, 10), Want: "0 or more"}
		}
	}
	return nil
}

// Ack is the reply to a message without a result.
type Ack struct{}

// Codec encodes every message between the processes of the system.
var Codec = wire.NewCodec(types()...)

// types returns the message types in the order of their numbers on the wire;
// new ones go at the end.
func types() []any {
	list := append(view.Types(), store.Types()...)
	list = append(list, raft.Types()...)
	list = append(list,
		Pull{}, Delta{}, Heartbeat{}, HeartbeatReply{}, Submit{}, SubmitReply{}, Barrier{}, BarrierReply{},
		ListRevisions{}, ListRevisionsReply{}, Hello{}, HelloReply{}, Join{}, Replicate{}, Probe{}, ProbeReply{},
		AttemptQuery{}, AttemptStatus{}, Ack{}, TakeOver{}, Handover{}, store.WrongGroup{},
	)
	list = append(list, store.LaterTypes()...)
	list = append(list, RelayQuery{}, ReplicateReply{})
	list = append(list, store.RecentTypes()...)
	return append(list, Entrust{}, Report{}, ReportReply{}, ListUsages{}, ListUsagesReply{}, ListFlows{}, ListFlowsReply{}, Standings{})
}
