package store

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
)

// Result is what a command came to.
type Result interface{ result() }

// Written says that the command took effect at a revision.
type Written struct {
	Rev uint64 `json:"rev"`
}

// Conflict says that the resource has another revision than was matched.
type Conflict struct {
	Rev uint64 `json:"rev"`
}

// NotFound says that there is no such resource.
type NotFound struct{}

// Stale says that the command came from an earlier start of the node.
type Stale struct{}

// EjectionGranted says that an ejection holds for the time; Left are the healthy ones.
type EjectionGranted struct {
	TTL  time.Duration `json:"ttl"`
	Left int           `json:"left"`
}

// EjectionRefused says that an instance stays in service, and why.
type EjectionRefused struct {
	Reason floor.Reason `json:"reason"`
}

// ClaimResult says what is now known of an idempotency key.
type ClaimResult struct {
	Granted bool         `json:"granted"`
	State   claim.State  `json:"state"`
	Answer  claim.Answer `json:"answer"`
}

// KeyReused says that the key was used for another request.
type KeyReused struct{}

// WrongGroup says that another group holds the key.
type WrongGroup struct{}

// InvalidPlan says which field of a plan is wrong.
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
func (KeyReused) result()       {}
