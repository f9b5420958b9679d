package view

import (
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/spec"
)

// Event is a change and the revision that it was made at.
type Event struct {
	Rev    uint64 `json:"rev"`
	Change any    `json:"change"`
}

// WithoutSecrets returns the event with digests in place of customers' keys, in the form
// that nodes get.
func (e Event) WithoutSecrets() Event {
	if patched, ok := e.Change.(PlanPatched); ok {
		e.Change = PlanPatched{Patch: patched.Patch.WithoutSecrets()}
	}
	return e
}

// Change is implemented by every change to a view.
type Change interface {
	change()
}

// ClusterBootstrapped sets the cluster ID and the number of claim groups.
type ClusterBootstrapped struct {
	Cluster uint64 `json:"cluster"`
	Groups  uint32 `json:"groups,omitempty"`
}

// ServicePut creates or replaces a service.
type ServicePut struct {
	Service spec.Service `json:"service"`
}

// ServiceDeleted deletes a service.
type ServiceDeleted struct {
	Name string `json:"name"`
}

// MemberPut creates or replaces a member. A member with another epoch loses its
// instances.
type MemberPut struct {
	Member Member `json:"member"`
}

// MemberDeleted deletes a member and its instances.
type MemberDeleted struct {
	Node string `json:"node"`
}

// InstancePut creates or replaces an instance of a member.
type InstancePut struct {
	Node     string   `json:"node"`
	Instance Instance `json:"instance"`
}

// InstanceDeleted deletes an instance of a member.
type InstanceDeleted struct {
	Key Key `json:"key"`
}

// InstanceEjected takes an instance out of service.
type InstanceEjected struct {
	Key Key `json:"key"`
}

// InstanceRestored returns an ejected instance to service.
type InstanceRestored struct {
	Key Key `json:"key"`
}

// FingerprintBanned bans requests with a fingerprint on all nodes, or replaces its ban.
type FingerprintBanned struct {
	Fingerprint uint64     `json:"print"`
	Ban         poison.Ban `json:"ban"`
}

// FingerprintUnbanned lifts the ban on a fingerprint.
type FingerprintUnbanned struct {
	Fingerprint uint64 `json:"print"`
}

// InstanceLeft records that an instance has said that it leaves; see Departure.
type InstanceLeft struct {
	Key  Key   `json:"key"`
	Born int64 `json:"born"`
}

// DeparturesForgotten forgets the departures that were recorded up to a revision.
type DeparturesForgotten struct {
	Until uint64 `json:"until"`
}

// PlanPatched patches the plan to its next version.
type PlanPatched struct {
	Patch plan.Patch `json:"patch"`
}

func (PlanPatched) change()         {}
func (InstanceLeft) change()        {}
func (DeparturesForgotten) change() {}
func (FingerprintBanned) change()   {}
func (FingerprintUnbanned) change() {}
func (ClusterBootstrapped) change() {}
func (ServicePut) change()          {}
func (ServiceDeleted) change()      {}
func (MemberPut) change()           {}
func (MemberDeleted) change()       {}
func (InstancePut) change()         {}
func (InstanceDeleted) change()     {}
func (InstanceEjected) change()     {}
func (InstanceRestored) change()    {}

// Types lists the changes in the order of their wire numbers.
func Types() []any {
	return []any{
		ServicePut{},
		ServiceDeleted{},
		MemberPut{},
		MemberDeleted{},
		InstancePut{},
		InstanceDeleted{},
		InstanceEjected{},
		InstanceRestored{},
		ClusterBootstrapped{},
		FingerprintBanned{},
		FingerprintUnbanned{},
	}
}

// LaterTypes lists the changes added after the numbers that follow Types were
// assigned to other packages.
func LaterTypes() []any {
	return []any{PlanPatched{}}
}

// RecentTypes lists the changes added after the numbers that follow LaterTypes were
// assigned to other packages.
func RecentTypes() []any {
	return []any{InstanceLeft{}, DeparturesForgotten{}}
}
