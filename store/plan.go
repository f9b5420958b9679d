package store

import (
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) declare(c Declare) Result {
	current := m.view.Plan
	if current.Version != c.Match {
		return Conflict{Rev: current.Version}
	}
	return m.applyPatch(plan.Diff(current, c.Plan), c.Base)
}

func (m *Model) amend(c Amend) Result {
	current := m.view.Plan
	if current.Version != c.Match {
		return Conflict{Rev: current.Version}
	}
	return m.applyPatch(c.Patch, c.Base)
}

// applyPatch validates a patch, applies it and emits the resulting events.
func (m *Model) applyPatch(c plan.Patch, base spec.Service) Result {
	if _, err := m.view.Plan.ApplyChecked(c); err != nil {
		return invalidPlan(err)
	}
	for _, name := range c.Drop.Services {
		m.emit(view.ServiceDeleted{Name: name})
	}
	for _, s := range c.Put.Services {
		service := serviceOf(s, base)
		m.emit(view.ServicePut{Service: service})
		m.setFloor(service)
	}
	m.emit(view.PlanPatched{Patch: c})
	return Written{Rev: c.Version}
}

// serviceOf returns the spec of a planned service; base, from the host that
// accepted the plan, supplies what the plan does not specify.
func serviceOf(s plan.Service, base spec.Service) spec.Service {
	base.Name = s.Name
	base.Routes = nil
	if s.Conns > 0 {
		base.Conns = s.Conns
	}
	return base
}

func invalidPlan(err error) Result {
	var field *spec.FieldError
	if errors.As(err, &field) {
		return InvalidPlan{Field: field.Field, Value: field.Value, Want: field.Want}
	}
	return InvalidPlan{Field: "Plan", Value: strconv.Quote(err.Error()), Want: "a consistent plan"}
}
