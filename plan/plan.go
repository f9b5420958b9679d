package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/damaskpitch/damaskpitch/spec"
)

// Plan is the desired state of a fleet at one version; the zero value is that
// of a fleet which was told nothing yet.
type Plan struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Service is a service that routes may name.
type Service struct {
	Name string `json:"name"`
	// Health is the path that instances answer about themselves.
	Health string `json:"health"`
	// Conns is the greatest number of connections to one instance.
	Conns    int    `json:"conns"`
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
}

// Limits bound what a caller may send and how long it may take; 0 takes the
// default.
type Limits struct {
	// Header and Body are the greatest sizes, in bytes.
	Header int64 `json:"header"`
	Body   int64 `json:"body"`
	// Read is the longest time that a request's header may take.
	Read spec.Duration `json:"read"`
	// Idle is how long a connection may wait for its next request.
	Idle spec.Duration `json:"idle"`
}

// Patch leads from one plan to the next by named items.
type Patch struct {
	Version uint64  `json:"version"`
	Put     Items   `json:"put"`
	Drop    Names   `json:"drop"`
	Limits  *Limits `json:"limits,omitempty"`
}

// Items are added, or replace those of the same name.
type Items struct {
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
}

// Names are taken away.
type Names struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Check returns a FieldError for the first field that is wrong.
func (p Plan) Check() error {
	if p.Version == 0 {
		return &spec.FieldError{Field: "Plan.version", Value: "0", Want: "a number above 0"}
	}
	known := make(map[string]bool, len(p.Services))
	for _, s := range p.Services {
		if s.Name == "" || known[s.Name] {
			return &spec.FieldError{Field: "Plan.services", Value: s.Name, Want: "a name of its own for each service"}
		}
		known[s.Name] = true
	}
	names := make(map[string]bool, len(p.Routes))
	places := make(map[string]bool, len(p.Routes))
	for _, r := range p.Routes {
		if err := r.check(); err != nil {
			return err
		}
		place := r.Host + r.Path
		if names[r.Name] || places[place] {
			return r.fieldError("path", r.Name+" "+place, "a name, host and path that no other route has")
		}
		names[r.Name], places[place] = true, true
		for _, part := range r.WeightedServices() {
			if !known[part.Service] {
				return r.fieldError("service", part.Service, "a service of the same plan")
			}
		}
	}
	return p.Limits.check()
}

func (l Limits) check() error {
	if l.Header < 0 || l.Body < 0 || l.Read < 0 || l.Idle < 0 {
		return &spec.FieldError{Field: "Plan.limits", Value: fmt.Sprint(l), Want: "0 or more"}
	}
	return nil
}

// ApplyChecked returns the plan that a patch leads to, or a FieldError.
func (p Plan) ApplyChecked(c Patch) (Plan, error) {
	if c.Version <= p.Version {
		return Plan{}, &spec.FieldError{
			Field: "Plan.version", Value: strconv.FormatUint(c.Version, 10),
			Want: "a number above the current " + strconv.FormatUint(p.Version, 10),
		}
	}
	next := p.apply(c)
	return next, next.Check()
}

// Apply returns the plan after a patch that was checked before.
func (p Plan) Apply(c Patch) Plan {
	return p.apply(c)
}

func (p Plan) apply(c Patch) Plan {
	next := Plan{Version: c.Version, Limits: p.Limits}
	next.Routes = merge(p.Routes, c.Put.Routes, c.Drop.Routes, func(r Route) string { return r.Name })
	next.Services = merge(p.Services, c.Put.Services, c.Drop.Services, func(s Service) string { return s.Name })
	if c.Limits != nil {
		next.Limits = *c.Limits
	}
	return next
}

// merge keeps the order by name, so that equal plans are equal lists.
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

// Diff returns the patch that leads from one plan to another.
func Diff(from, to Plan) Patch {
	c := Patch{Version: to.Version}
	if from.Limits != to.Limits {
		limits := to.Limits
		c.Limits = &limits
	}
	c.Put.Routes, c.Drop.Routes = diff(from.Routes, to.Routes, func(r Route) string { return r.Name }, Route.equal)
	same := func(a, b Service) bool { return a == b }
	c.Put.Services, c.Drop.Services = diff(from.Services, to.Services, func(s Service) string { return s.Name }, same)
	return c
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
