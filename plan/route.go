package plan

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	// _maxTimeout bounds a route's timeout: larger values are likely mistakes of
	// unit.
	_maxTimeout = 10 * time.Minute
	_maxName    = 253
	_maxPath    = 4096
)

// Kind says whether a request may be executed more than once.
type Kind string

const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// Once requests are executed at most once each time that a caller sends them.
	Once Kind = "once"
	// Bulk requests are idempotent and have large responses.
	Bulk Kind = "bulk"
	// Upload requests have large bodies and are executed at most once.
	Upload Kind = "upload"
)

// Once reports whether requests of this kind are executed at most once.
func (k Kind) Once() bool {
	return k == Once || k == Upload
}

func (k Kind) valid() bool {
	return k.Once() || k == Idempotent || k == Bulk
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Path is the path prefix; it begins and ends with a slash.
	Path string `json:"path"`
	Kind Kind   `json:"kind"`
	// Timeout is the maximum time until a request is answered.
	Timeout spec.Duration `json:"timeout"`
	// Target is the response time after which an answer is worth less, or 0 for none.
	Target spec.Duration `json:"target,omitempty"`
	// Priority orders routes under overload; 0 is the highest.
	Priority int `json:"priority"`
	// Service receives all requests, unless Parts divides them.
	Service string `json:"service,omitempty"`
	Parts   []Part `json:"parts,omitempty"`
	// Attempts is the maximum number of instances that a request is sent to, or 0
	// for the default.
	Attempts int `json:"attempts,omitempty"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
}

// Part is a service and its weight in a route's traffic split.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// WeightedServices returns the services of the route and their weights.
func (r Route) WeightedServices() []Part {
	if len(r.Parts) > 0 {
		return r.Parts
	}
	return []Part{{Service: r.Service, Weight: 1}}
}

// Pick returns the service for a request by weight; at is a uniformly distributed
// random number in [0, 1).
func (r Route) Pick(at float64) string {
	services := r.WeightedServices()
	total := 0.0
	for _, p := range services {
		total += p.Weight
	}
	at *= total
	for _, p := range services {
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return services[len(services)-1].Service
}

// check returns a spec.FieldError for the first invalid field.
func (r Route) check() error {
	switch {
	case r.Name == "" || len(r.Name) > _maxName:
		return r.fieldError("name", r.Name, "1 to 253 bytes")
	case r.Host == "" || len(r.Host) > _maxName:
		return r.fieldError("host", r.Host, "a host name of 1 to 253 bytes")
	case !strings.HasPrefix(r.Path, "/") || len(r.Path) > _maxPath:
		return r.fieldError("path", r.Path, "a path prefix that begins with a slash")
	case !r.Kind.valid():
		return r.fieldError("kind", string(r.Kind), "idempotent, once, bulk or upload")
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
		a.Service == b.Service && a.Attempts == b.Attempts && a.Public == b.Public
}
