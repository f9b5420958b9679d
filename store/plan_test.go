package store

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
)

func planAt(version uint64, service string) plan.Plan {
	return plan.Plan{
		Version:  version,
		Services: []plan.Service{{Name: "one"}, {Name: "two"}},
		Routes: []plan.Route{{
			Name: "a", Host: "h", Path: "/a/", Kind: plan.Once, Timeout: spec.Duration(time.Second), Service: service,
		}},
	}
}

// TestPlanWrites covers plan writes, their retries, and a race of two writes that
// build on the same version, with a snapshot after each write.
func TestPlanWrites(t *testing.T) {
	base := spec.Service{}.WithDefaults()
	moved := plan.Patch{Version: 7, Put: plan.Items{Routes: planAt(7, "two").Routes}}
	broken := plan.Patch{Version: 8, Drop: plan.Names{Services: []string{"two"}}}
	steps := []struct {
		name string
		c    Command
		want Result
	}{
		{"first", Declare{Request: "1", Plan: planAt(3, "one"), Base: base}, Written{Rev: 3}},
		{"first retried", Declare{Request: "1", Plan: planAt(3, "one"), Base: base}, Written{Rev: 3}},
		{"another first", Declare{Request: "2", Plan: planAt(4, "two"), Base: base}, Conflict{Rev: 3}},
		{"winner of a race", Amend{Request: "3", Match: 3, Patch: moved, Base: base}, Written{Rev: 7}},
		{"loser of the race", Declare{Request: "4", Match: 3, Plan: planAt(7, "one"), Base: base}, Conflict{Rev: 7}},
		{"loser retried", Declare{Request: "4", Match: 3, Plan: planAt(7, "one"), Base: base}, Conflict{Rev: 7}},
		{"first retried later", Declare{Request: "1", Plan: planAt(3, "one"), Base: base}, Written{Rev: 3}},
		{"old version", Amend{Request: "5", Match: 7, Patch: plan.Patch{Version: 7}, Base: base}, nil},
		{"service in use", Amend{Request: "6", Match: 7, Patch: broken, Base: base}, nil},
	}
	m := New(Config{})
	for i, s := range steps {
		var got Result
		m, got = m.Apply(Entry{Index: uint64(i + 1), At: time.Duration(i) * time.Second, Command: s.c})
		if _, invalid := got.(InvalidPlan); s.want == nil && invalid {
			continue
		}
		if got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
		// Saving and loading between writes must change nothing.
		data, err := m.Save()
		if err != nil {
			t.Fatal(err)
		}
		if m, err = Load(Config{}, data); err != nil {
			t.Fatal(err)
		}
	}
	p := m.View().Plan
	if p.Version != 7 || p.Routes[0].Service != "two" || len(m.View().Services()) != 2 {
		t.Errorf("plan %+v, services %+v", p, m.View().Services())
	}
}
