package store

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
)

// Result is implemented by every result of a command.
type Result interface{ result() }

// Written reports that the command took effect at revision Rev.
type Written struct {
	Rev uint64 `json:"rev"`
}

// Conflict reports that the current revision, Rev, is not the one matched.
type Conflict struct {
	Rev uint64 `json:"rev"`
}

// NotFound reports that the resource does not exist.
type NotFound struct{}

// Stale reports that the command was superseded, for example by a later epoch of
// the node, and had no effect.
type Stale struct{}

// EjectionGranted reports that an ejection holds for TTL, and the number of healthy
// instances that remain. A view of Rev or later that does not list the instance as
// ejected means that the arbiter ended the ejection early.
type EjectionGranted struct {
	TTL       time.Duration `json:"ttl"`
	Remaining int           `json:"left"`
	Rev       uint64        `json:"rev,omitempty"`
}

// EjectionRefused reports why an instance stays in service.
type EjectionRefused struct {
	Reason floor.Reason `json:"reason"`
}

// ClaimResult reports the state of an idempotency key after a command.
type ClaimResult struct {
	Granted bool         `json:"granted"`
	State   claim.State  `json:"state"`
	Answer  claim.Answer `json:"answer"`
}

// KeyMismatch reports that the idempotency key was used for another request.
type KeyMismatch struct{}

// WrongGroup reports that another group holds the idempotency key.
type WrongGroup struct{}

// InvalidPlan reports the first invalid field of a plan.
type InvalidPlan struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

func (InvalidPlan) result()     {}
func (WrongGroup) result()      {}
func (Written) result()         {}
func (Conflict) result()        {}
func (NotFound) result()        {}
func (Stale) result()           {}
func (EjectionGranted) result() {}
func (EjectionRefused) result() {}
func (ClaimResult) result()     {}
func (KeyMismatch) result()     {}
