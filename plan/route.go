package plan

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	// _maxTimeout bounds what an operator may let a request wait: longer
	// waits are mistakes of unit.
	_maxTimeout = 10 * time.Minute
	_maxName    = 253
	_maxPath    = 4096
)

// Kind says whether a request may run more than once.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each time that a caller sends them.
	Once Kind = "once"
	// Bulk requests are idempotent and have large answers.
	Bulk Kind = "bulk"
)

// Route sends the requests under a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Path is the prefix of the request's path; it begins and ends with a slash.
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout spec.Duration `json:"timeout"`
	// Target is the time within which an answer is worth most, or 0.
	Target spec.Duration `json:"target,omitempty"`
	// Priority ranks routes when room is short; 0 goes first.
	Priority int `json:"priority"`
	// Service takes all requests, unless Parts share them.
	Service string `json:"service,omitempty"`
	Parts   []Part `json:"parts,omitempty"`
	// Attempts is the greatest number of instances that a request is sent to,
	// 0 for the default.
	Attempts int `json:"attempts,omitempty"`
}

// Part is one service's share of a route's requests.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// WeightedServices returns the services that take the route's requests.
func (r Route) WeightedServices() []Part {
	if len(r.Parts) > 0 {
		return r.Parts
	}
	return []Part{{Service: r.Service, Weight: 1}}
}

// Pick returns the service for a request; at lies in [0, 1) and is drawn evenly.
func (r Route) Pick(at float64) string {
	shares := r.WeightedServices()
	total := 0.0
	for _, p := range shares {
		total += p.Weight
	}
	at *= total
	for _, p := range shares {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return shares[len(shares)-1].Service
}

// check returns a FieldError for the first field that is out of range.
func (r Route) check() error {
	switch {
	case r.Name == "" || len(r.Name) > _maxName:
		return r.fieldError("name", r.Name, "1 to 253 bytes")
	case r.Host == "" || len(r.Host) > _maxName:
		return r.fieldError("host", r.Host, "a host name of 1 to 253 bytes")
	case !strings.HasPrefix(r.Path, "/") || len(r.Path) > _maxPath:
		return r.fieldError("path", r.Path, "a prefix that begins with a slash")
	case r.Kind != Idempotent && r.Kind != Once && r.Kind != Bulk:
		return r.fieldError("kind", string(r.Kind), "idempotent, once or bulk")
	case r.Timeout <= 0 || r.Timeout.Std() > _maxTimeout:
		return r.fieldError("timeout", r.Timeout.String(), "more than 0s, at most 10m")
	case r.Target < 0:
		return r.fieldError("target", r.Target.String(), "0s or more")
	case r.Attempts < 0:
		return r.fieldError("attempts", fmt.Sprint(r.Attempts), "0 or more")
	}
	return r.checkWeights()
}

func (r Route) checkWeights() error {
	if (r.Service == "") == (len(r.Parts) == 0) {
		return r.fieldError("service", r.Service, "either a service or parts")
	}
	total := 0.0
	for _, p := range r.WeightedServices() {
		if p.Weight < 0 || math.IsNaN(p.Weight) || math.IsInf(p.Weight, 0) {
			return r.fieldError("parts", fmt.Sprint(p.Weight), "weights of 0 or more")
		}
		total += p.Weight
	}
	if total <= 0 {
		return r.fieldError("parts", fmt.Sprint(total), "weights that add up to more than 0")
	}
	return nil
}

func (r Route) fieldError(field, value, want string) error {
	return &spec.FieldError{Field: "Plan.routes[" + r.Name + "]." + field, Value: value, Want: want}
}

func (r Route) equal(o Route) bool {
	if len(r.Parts) != len(o.Parts) {
		return false
	}
	for i := range r.Parts {
		if r.Parts[i] != o.Parts[i] {
			return false
		}
	}
	a, b := r, o
	a.Parts, b.Parts = nil, nil
	return a.Name == b.Name && a.Host == b.Host && a.Path == b.Path && a.Kind == b.Kind &&
		a.Timeout == b.Timeout && a.Target == b.Target && a.Priority == b.Priority &&
		a.Service == b.Service && a.Attempts == b.Attempts
}
