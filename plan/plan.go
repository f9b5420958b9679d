package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/damaskpitch/damaskpitch/spec"
)

// Plan is the desired configuration of a fleet at one version. The zero value is the
// plan of a fleet that has none yet.
type Plan struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Customers are the parties that callers belong to. If there are any, a request
	// needs a key of one of them, unless its route is public.
	Customers []Customer `json:"customers,omitempty"`
}

// Service is a service that routes refer to.
type Service struct {
	Name string `json:"name"`
	// Health is the path of the instances' health check.
	Health string `json:"health"`
	// Conns is the maximum number of connections per instance.
	Conns    int    `json:"conns"`
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
}

// Limits bounds the size and duration of client requests; 0 selects the default.
type Limits struct {
	// Header and Body are the maximum sizes in bytes.
	Header int64 `json:"header"`
	Body   int64 `json:"body"`
	// Read is the timeout for reading a request header.
	Read spec.Duration `json:"read"`
	// Idle is how long a connection may be idle between requests.
	Idle spec.Duration `json:"idle"`
}

// Patch changes named items of a plan and gives it a new version.
type Patch struct {
	Version uint64  `json:"version"`
	Put     Items   `json:"put"`
	Drop    Names   `json:"drop"`
	Limits  *Limits `json:"limits,omitempty"`
}

// Items are added, or replace the items of the same name.
type Items struct {
	Routes    []Route    `json:"routes,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
}

// Names are the names of items to delete.
type Names struct {
	Routes    []string `json:"routes,omitempty"`
	Services  []string `json:"services,omitempty"`
	Customers []string `json:"customers,omitempty"`
}

// Check returns a spec.FieldError for the first invalid field.
func (p Plan) Check() error {
	if p.Version == 0 {
		return &spec.FieldError{Field: "Plan.version", Value: "0", Want: "a number above 0"}
	}
	known := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" || known[s.Name] {
			return &spec.FieldError{Field: "Plan.services", Value: s.Name, Want: "a unique name for each service"}
		}
		known[s.Name] = true
	}
	names := make(map[string]bool, len(p.Routes))
	prefixes := make(map[string]bool, len(p.Routes))
	for _, r := range p.Routes {
		if err := r.check(); err != nil {
			return err
		}
		prefix := r.Host + r.Path
		if names[r.Name] || prefixes[prefix] {
			return r.fieldError("path", r.Name+" "+prefix, "a unique name, and a unique pair of host and path")
		}
		names[r.Name], prefixes[prefix] = true, true
		for _, part := range r.WeightedServices() {
			if !known[part.Service] {
				return r.fieldError("service", part.Service, "the name of a service in the plan")
			}
		}
	}
	if err := checkCustomers(p.Customers); err != nil {
		return err
	}
	return p.Limits.check()
}

func (l Limits) check() error {
	if l.Header < 0 || l.Body < 0 || l.Read < 0 || l.Idle < 0 {
		return &spec.FieldError{Field: "Plan.limits", Value: fmt.Sprint(l), Want: "0 or more"}
	}
	return nil
}

// ApplyChecked returns the patched plan, or a spec.FieldError if it is invalid.
func (p Plan) ApplyChecked(patch Patch) (Plan, error) {
	if patch.Version <= p.Version {
		return Plan{}, &spec.FieldError{
			Field: "Plan.version", Value: strconv.FormatUint(patch.Version, 10),
			Want: "a number above the current " + strconv.FormatUint(p.Version, 10),
		}
	}
	next := p.apply(patch)
	return next, next.Check()
}

// Apply returns the patched plan. It does not validate the patch, which must have
// passed ApplyChecked.
func (p Plan) Apply(patch Patch) Plan {
	return p.apply(patch)
}

func (p Plan) apply(patch Patch) Plan {
	next := Plan{Version: patch.Version, Limits: p.Limits}
	next.Routes = merge(p.Routes, patch.Put.Routes, patch.Drop.Routes, func(r Route) string { return r.Name })
	next.Services = merge(p.Services, patch.Put.Services, patch.Drop.Services, func(s Service) string { return s.Name })
	// Unchanged customers keep their list, by which nodes tell that there is nothing to index.
	next.Customers = p.Customers
	if len(patch.Put.Customers) > 0 || len(patch.Drop.Customers) > 0 {
		next.Customers = merge(p.Customers, patch.Put.Customers, patch.Drop.Customers, func(c Customer) string { return c.Name })
	}
	if patch.Limits != nil {
		next.Limits = *patch.Limits
	}
	return next
}

// merge returns the items sorted by name, so that equal plans are equal lists.
func merge[T any](old, put []T, drop []string, name func(T) string) []T {
	items := make(map[string]T, len(old)+len(put))
	for _, v := range old {
		items[name(v)] = v
	}
	for _, n := range drop {
		delete(items, n)
	}
	for _, v := range put {
		items[name(v)] = v
	}
	list := make([]T, 0, len(items))
	for _, v := range items {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return list
}

// Diff returns the patch that turns one plan into another.
func Diff(from, to Plan) Patch {
	patch := Patch{Version: to.Version}
	if from.Limits != to.Limits {
		limits := to.Limits
		patch.Limits = &limits
	}
	patch.Put.Routes, patch.Drop.Routes = diff(from.Routes, to.Routes, func(r Route) string { return r.Name }, Route.equal)
	same := func(a, b Service) bool { return a == b }
	patch.Put.Services, patch.Drop.Services = diff(from.Services, to.Services, func(s Service) string { return s.Name }, same)
	if len(from.Customers) > 0 || len(to.Customers) > 0 {
		patch.Put.Customers, patch.Drop.Customers = diff(from.Customers, to.Customers, func(c Customer) string { return c.Name }, Customer.equal)
	}
	return patch
}

func diff[T any](from, to []T, name func(T) string, equal func(a, b T) bool) ([]T, []string) {
	old := make(map[string]T, len(from))
	for _, v := range from {
		old[name(v)] = v
	}
	var put []T
	for _, v := range to {
		known, ok := old[name(v)]
		if !ok || !equal(known, v) {
			put = append(put, v)
		}
		delete(old, name(v))
	}
	drop := make([]string, 0, len(old))
	for n := range old {
		drop = append(drop, n)
	}
	slices.Sort(drop)
	return put, drop
}
