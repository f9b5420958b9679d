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

// AnyRev lets a write replace whatever revision there is.
const AnyRev = -1

// Entry is one command at its place and time in the log.
type Entry struct {
	Index   uint64        `json:"-"`
	At      time.Duration `json:"at"`
	Command any           `json:"command"`
}

// Command is one of the commands of this file.
type Command interface{ command() }

// Bootstrap gives the fleet its identity and its number of claim groups.
type Bootstrap struct {
	Cluster uint64 `json:"cluster"`
	Groups  uint32 `json:"groups,omitempty"`
}

// PutService writes a service if its revision is Match; Request names the
// operator's request, so that a resend gets the first result.
type PutService struct {
	Request string       `json:"request,omitempty"`
	Match   int64        `json:"match"`
	Service spec.Service `json:"service"`
}

// DropService deletes a service if its revision is Match.
type DropService struct {
	Request string `json:"request,omitempty"`
	Match   int64  `json:"match"`
	Name    string `json:"name"`
}

// Declare writes a whole plan if the version of the present one is Match.
// Request names the operator's request, so that a resend gets the first
// result; Base is what a service has that the plan does not say.
type Declare struct {
	Request string       `json:"request,omitempty"`
	Match   uint64       `json:"match"`
	Plan    plan.Plan    `json:"plan"`
	Base    spec.Service `json:"base"`
}

// Amend changes named items of the plan if its version is Match.
type Amend struct {
	Request string       `json:"request,omitempty"`
	Match   uint64       `json:"match"`
	Patch   plan.Patch   `json:"patch"`
	Base    spec.Service `json:"base"`
}

// RegisterMember writes a member and replaces all of its instances.
type RegisterMember struct {
	Member    view.Member     `json:"member"`
	Instances []view.Instance `json:"instances"`
}

// RegisterInstance writes one instance of a member.
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

// SetReachability writes whether a member's host is reachable.
type SetReachability struct {
	Node         string            `json:"node"`
	Epoch        uint64            `json:"epoch"`
	Reachability view.Reachability `json:"reach"`
}

// RemoveMember deletes a member.
type RemoveMember struct {
	Node  string `json:"node"`
	Epoch uint64 `json:"epoch"`
}

// EjectInstance asks for an ejection for a time, or renews it.
type EjectInstance struct {
	Key   view.Key      `json:"key"`
	Epoch uint64        `json:"epoch"`
	TTL   time.Duration `json:"ttl"`
}

// RestoreInstance ends an ejection.
type RestoreInstance struct {
	Key   view.Key `json:"key"`
	Epoch uint64   `json:"epoch"`
}

// Claim asks to run an idempotency key's request once.
type Claim struct {
	Key    string        `json:"key"`
	Digest uint64        `json:"digest"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl"`
}

// CompleteClaim says how a claimed request ended.
type CompleteClaim struct {
	Key     string        `json:"key"`
	Holder  string        `json:"holder"`
	Outcome claim.Outcome `json:"outcome"`
	Answer  claim.Answer  `json:"answer"`
}

// ReportCrash says that an instance crashed with requests in flight.
type ReportCrash struct {
	Key    view.Key `json:"key"`
	Epoch  uint64   `json:"epoch"`
	Prints []uint64 `json:"prints"`
}

// BootstrapGroup asks to found a group of idempotency keys on a host; the first
// host that asks for a group is the only one that may.
type BootstrapGroup struct {
	Group uint32 `json:"group"`
	Host  uint64 `json:"host"`
}

// AdvanceClock carries only its time, for leases that run out.
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
func (CompleteClaim) command()      {}
func (ReportCrash) command()        {}
func (AdvanceClock) command()       {}
func (BootstrapGroup) command()     {}

// Types lists the commands and results in the order of the format.
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
		CompleteClaim{},
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
		KeyReused{},
		ReportCrash{},
		BootstrapGroup{},
	}
}

// LaterTypes lists what came after other packages' types had their numbers.
func LaterTypes() []any {
	return append(view.LaterTypes(), Declare{}, Amend{}, InvalidPlan{})
}

// Codec carries entries and snapshots.
var Codec = wire.NewCodec(slices.Concat(view.Types(), Types(), LaterTypes())...)
