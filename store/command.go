package store

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// AnyRev as Match makes a write unconditional.
const AnyRev = -1

// Entry is a command with its index and time in the replicated log.
type Entry struct {
	Index   uint64        `json:"-"`
	At      time.Duration `json:"at"`
	Command any           `json:"command"`
}

// Command is implemented by every command that the state machine applies.
type Command interface{ command() }

// Bootstrap sets the cluster ID and the number of claim groups.
type Bootstrap struct {
	Cluster uint64 `json:"cluster"`
	Groups  uint32 `json:"groups,omitempty"`
}

// PutService creates or replaces a service if its current revision is Match. A
// retry with the same Request gets the first result.
type PutService struct {
	Request string       `json:"request,omitempty"`
	Match   int64        `json:"match"`
	Service spec.Service `json:"service"`
}

// DropService deletes a service if its current revision is Match. A retry with
// the same Request gets the first result.
type DropService struct {
	Request string `json:"request,omitempty"`
	Match   int64  `json:"match"`
	Name    string `json:"name"`
}

// Declare replaces the whole plan if its current version is Match. A retry with
// the same Request gets the first successful result. Base holds the service
// settings that a plan does not specify.
type Declare struct {
	Request string       `json:"request,omitempty"`
	Match   uint64       `json:"match"`
	Plan    plan.Plan    `json:"plan"`
	Base    spec.Service `json:"base"`
}

// Amend patches the plan if its current version is Match; Request and Base are as
// in Declare.
type Amend struct {
	Request string       `json:"request,omitempty"`
	Match   uint64       `json:"match"`
	Patch   plan.Patch   `json:"patch"`
	Base    spec.Service `json:"base"`
}

// RegisterMember creates or replaces a member and replaces all of its instances.
type RegisterMember struct {
	Member    view.Member     `json:"member"`
	Instances []view.Instance `json:"instances"`
}

// RegisterInstance creates or replaces one instance of a member.
type RegisterInstance struct {
	Node     string        `json:"node"`
	Epoch    uint64        `json:"epoch"`
	Instance view.Instance `json:"instance"`
}

// DeregisterInstance deletes one instance of a member.
type DeregisterInstance struct {
	Key   view.Key `json:"key"`
	Epoch uint64   `json:"epoch"`
}

// SetReachability records whether a member can be reached.
type SetReachability struct {
	Node         string            `json:"node"`
	Epoch        uint64            `json:"epoch"`
	Reachability view.Reachability `json:"reach"`
}

// RemoveMember deletes a member and its instances.
type RemoveMember struct {
	Node  string `json:"node"`
	Epoch uint64 `json:"epoch"`
}

// EjectInstance requests or renews the ejection of an instance for TTL.
type EjectInstance struct {
	Key   view.Key      `json:"key"`
	Epoch uint64        `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
}

// RestoreInstance ends the ejection of an instance.
type RestoreInstance struct {
	Key   view.Key `json:"key"`
	Epoch uint64   `json:"epoch"`
}

// Claim requests the right to execute the request with an idempotency key. Digest
// identifies the request, so that a key reused for another one is detected.
type Claim struct {
	Key    string        `json:"key"`
	Digest uint64        `json:"digest"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl"`
}

// SettleClaim reports the outcome of a claimed request.
type SettleClaim struct {
	Key     string        `json:"key"`
	Holder  string        `json:"holder"`
	Outcome claim.Outcome `json:"outcome"`
	Answer  claim.Answer  `json:"answer"`
}

// ReportCrash reports an instance crash with the fingerprints of the requests that
// were in flight. Life tells the crashes of an instance apart that one process of its
// node has seen.
type ReportCrash struct {
	Key          view.Key `json:"key"`
	Epoch        uint64   `json:"epoch"`
	Life         uint64   `json:"life,omitempty"`
	Fingerprints []uint64 `json:"prints"`
}

// ReportCompleted reports that a request with a banned fingerprint completed.
type ReportCompleted struct {
	Node        string `json:"node"`
	Epoch       uint64 `json:"epoch"`
	Fingerprint uint64 `json:"print"`
}

// RecordDeparture records that an instance has said that it leaves. Born is its start, or a
// time at which it was running.
type RecordDeparture struct {
	Key  view.Key `json:"key"`
	Born int64    `json:"born"`
}

// TryBanned asks to serve one request with a banned fingerprint as a trial. The result is
// Written if it may be served, and Stale if not.
type TryBanned struct {
	Fingerprint uint64 `json:"print"`
}

// BootstrapGroup reserves the right to bootstrap a claim group for a host. Only the
// first host that requests it gets it.
type BootstrapGroup struct {
	Group uint32 `json:"group"`
	Host  uint64 `json:"host"`
}

// AdvanceClock advances the log time without another change, so that leases
// expire.
type AdvanceClock struct{}

func (Declare) command()            {}
func (Amend) command()              {}
func (Bootstrap) command()          {}
func (PutService) command()         {}
func (DropService) command()        {}
func (RegisterMember) command()     {}
func (RegisterInstance) command()   {}
func (DeregisterInstance) command() {}
func (SetReachability) command()    {}
func (RemoveMember) command()       {}
func (EjectInstance) command()      {}
func (RestoreInstance) command()    {}
func (Claim) command()              {}
func (SettleClaim) command()        {}
func (ReportCrash) command()        {}
func (ReportCompleted) command()    {}
func (TryBanned) command()          {}
func (RecordDeparture) command()    {}
func (AdvanceClock) command()       {}
func (BootstrapGroup) command()     {}

// Types lists the commands and results in the order of their wire numbers; append
// new types to LaterTypes.
func Types() []any {
	return []any{
		Entry{},
		PutService{},
		DropService{},
		RegisterMember{},
		RegisterInstance{},
		DeregisterInstance{},
		SetReachability{},
		RemoveMember{},
		EjectInstance{},
		RestoreInstance{},
		Claim{},
		SettleClaim{},
		AdvanceClock{},
		Bootstrap{},
		Snapshot{},
		Written{},
		Conflict{},
		NotFound{},
		Stale{},
		EjectionGranted{},
		EjectionRefused{},
		ClaimResult{},
		KeyMismatch{},
		ReportCrash{},
		BootstrapGroup{},
	}
}

// LaterTypes lists the types added after the numbers that follow Types were
// assigned to other packages.
func LaterTypes() []any {
	return append(view.LaterTypes(), Declare{}, Amend{}, InvalidPlan{})
}

// RecentTypes lists the types added after the numbers that follow LaterTypes were
// assigned to other packages.
func RecentTypes() []any {
	return append(view.RecentTypes(), ReportCompleted{}, TryBanned{}, RecordDeparture{})
}

// Codec encodes and decodes log entries and snapshots.
var Codec = wire.NewCodec(slices.Concat(view.Types(), Types(), LaterTypes(), RecentTypes())...)
