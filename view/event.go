package view

import (
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
)

// Event is one change at the revision that made it.
type Event struct {
	Rev    uint64 `json:"rev"`
	Change any    `json:"change"`
}

// Change is one of the changes of this file.
type Change interface {
	change()
}

// ClusterBootstrapped gives the fleet its identity and its number of claim groups.
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

// MemberPut creates or replaces a member; a new epoch drops its instances.
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

// InstanceRestored puts an ejected instance back.
type InstanceRestored struct {
	Key Key `json:"key"`
}

// FingerprintBanned refuses requests with a fingerprint everywhere.
type FingerprintBanned struct {
	Print uint64 `json:"print"`
}

// FingerprintUnbanned lets requests with a fingerprint run again.
type FingerprintUnbanned struct {
	Print uint64 `json:"print"`
}

// PlanPatched leads the plan to its next version.
type PlanPatched struct {
	Patch plan.Patch `json:"patch"`
}

func (PlanPatched) change()         {}
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

// Types lists the changes in the order of the format.
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

// LaterTypes lists the changes that came after others had their numbers.
func LaterTypes() []any {
	return []any{PlanPatched{}}
}
