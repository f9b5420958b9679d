package node

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/access"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// fleet holds the parts of the view that requests need. It is updated service by
// service as the view changes.
type fleet struct {
	center            string
	mu                sync.RWMutex
	serviceRoutes     *route.Table
	planRoutes        *route.Table
	version           uint64 // of the plan that planRoutes was built from
	requestLimits     plan.Limits
	customers         *access.Table // of the plan; nil if it has none
	declarationsKnown bool          // the view has had a plan or a service
	services          map[string]*service
	members           int    // number of nodes
	claimGroups       uint32 // number of groups that hold idempotency keys; 0 if unknown
	rumors            func(service string) []proto.Rumor
	unreachable       map[string]bool // addresses of unreachable owners
	bans              bans
}

// service is this ingress's state of a service.
type service struct {
	mu        sync.Mutex
	spec      spec.Service
	pool      route.Pool
	loads     *route.LoadTracker
	latencies route.Latencies
	budget    retry.Budget
	heard     heardNotices
	sent      map[string]int // attempts since the last heartbeat, by data centre
}

func newFleet(center string) *fleet {
	return &fleet{center: center, serviceRoutes: route.NewTable(nil), planRoutes: route.NewPlanTable(nil), services: map[string]*service{}, unreachable: map[string]bool{}}
}

// find returns the route and service of a request, given its path as it was sent. random
// in [0, 1) selects the service of a route that is split between several.
func (f *fleet) find(host, method, path string, random float64) (route.Match, *service, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if match, ok := f.planRoutes.Find(host, method, path); ok {
		s := f.services[match.Plan.Pick(random)]
		if s == nil {
			return match, nil, false
		}
		match.Service = s.declared()
		return match, s, true
	}
	match, ok := f.serviceRoutes.Find(host, method, path)
	if !ok {
		return match, nil, false
	}
	s := f.services[match.Service.Name]
	if s == nil {
		return match, nil, false
	}
	// The table is built anew only when routes change.
	match.Service = s.declared()
	return match, s, true
}

// instanceCount returns the number of instances of a service, or 1 if the service is
// unknown.
func (f *fleet) instanceCount(name string) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s := f.services[name]
	if s == nil {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pool.Candidates)
}

// setUnreachable records whether an owner's address is unreachable.
func (f *fleet) setUnreachable(addr string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unreachable {
		f.unreachable[addr] = true
	} else {
		delete(f.unreachable, addr)
	}
	for _, s := range f.services {
		s.mu.Lock()
		s.pool = s.pool.WithUnreachable(f.unreachable)
		s.mu.Unlock()
	}
}

// reports returns what this node can tell another one about the instances of a service as
// text for a header. It is empty if there is nothing to tell.
func (f *fleet) reports(service string, to route.Receiver, at time.Duration) string {
	f.mu.RLock()
	s := f.services[service]
	f.mu.RUnlock()
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return route.EncodeReports(s.loads.ReportsTo(s.pool, at, to))
}

// mergeReports takes over the reports of another node about the instances of a service.
// It returns an error for text that no node sends.
func (f *fleet) mergeReports(service, from, text string, at time.Duration) error {
	if text == "" {
		return nil
	}
	reports, err := route.DecodeReports(text)
	if err != nil {
		return errors.Errorf("reports on %s: %w", service, err)
	}
	f.mu.RLock()
	s := f.services[service]
	f.mu.RUnlock()
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.MergeFrom(from, s.pool, reports, at)
	return nil
}

// hasInstancesAt reports whether an owner's address has any instances.
func (f *fleet) hasInstancesAt(addr string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, s := range f.services {
		s.mu.Lock()
		known := slices.ContainsFunc(s.pool.Candidates, func(c route.Candidate) bool { return c.Addr == addr })
		s.mu.Unlock()
		if known {
			return true
		}
	}
	return false
}

// planVersion returns the version of the plan in use, or 0.
func (f *fleet) planVersion() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.version
}

// limits returns the plan's limits of requests.
func (f *fleet) limits() plan.Limits {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.requestLimits
}

// customerTable returns the plan's customers, or nil if it has none.
func (f *fleet) customerTable() *access.Table {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.customers
}

// memberCount returns the number of nodes.
func (f *fleet) memberCount() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members
}

// hasDeclarations reports whether the view has had a plan or a service.
func (f *fleet) hasDeclarations() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.declarationsKnown
}

// declared returns a copy of the service's current declaration.
func (s *service) declared() *spec.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := s.spec
	return &declared
}

// spec returns a service's declaration, or the defaults if it is not declared.
func (f *fleet) spec(name string) spec.Service {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if s := f.services[name]; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.spec
	}
	return spec.Service{Name: name}.WithDefaults()
}

// update applies the view to the named services, or to all of them.
func (f *fleet) update(v *view.View, names []string, all bool) {
	f.bans.update(v.Bans(), time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimGroups = v.Groups
	f.members = v.MemberCount()
	f.declarationsKnown = f.declarationsKnown || v.Plan.Version > 0 || len(v.Services()) > 0
	if f.version != v.Plan.Version {
		f.version = v.Plan.Version
		f.requestLimits = v.Plan.Limits
		f.planRoutes = route.NewPlanTable(v.Plan.Routes)
		if !f.customers.IsOf(v.Plan.Customers) {
			f.customers = access.NewTable(v.Plan.Customers)
		}
	}
	if all {
		names = nil
		for _, s := range v.Services() {
			names = append(names, s.Service.Name)
		}
		for name := range f.services {
			if _, ok := v.Service(name); !ok {
				names = append(names, name)
			}
		}
	}
	routesChanged := all
	for _, name := range names {
		list := candidates(v, name)
		if f.rumors != nil {
			list = withRumors(v, list, f.rumors(name))
		}
		routesChanged = f.updateService(v, name, list) || routesChanged
	}
	if routesChanged {
		f.rebuildServiceRoutes(v)
	}
}

// groupOf returns the group of an idempotency key, or false while the number of
// groups is unknown.
func (f *fleet) groupOf(key string) (uint32, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.claimGroups == 0 {
		return 0, false
	}
	return place.GroupOf(key, f.claimGroups), true
}

// updateService applies the view to a service and reports whether its routes changed.
func (f *fleet) updateService(v *view.View, name string, list []route.Candidate) bool {
	declared, ok := v.Service(name)
	s := f.services[name]
	if !ok {
		delete(f.services, name)
		return s != nil
	}
	if s == nil {
		s = &service{loads: route.NewLoadTracker(), latencies: route.Latencies{}}
		f.services[name] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !sameRoutes(s.spec, declared.Service)
	s.spec = declared.Service
	s.pool = route.NewPool(declared, f.center, s.heard.exclude(list)).WithUnreachable(f.unreachable)
	s.loads.Retain(s.pool)
	return changed
}

// rebuildServiceRoutes builds the table of the routes that services declare.
func (f *fleet) rebuildServiceRoutes(v *view.View) {
	services := v.Services()
	list := make([]spec.Service, 0, len(services))
	for _, s := range services {
		list = append(list, s.Service)
	}
	f.serviceRoutes = route.NewTable(list)
}

// candidates returns the instances of a service whose node is a member.
func candidates(v *view.View, service string) []route.Candidate {
	keys := v.KeysOf(service)
	list := make([]route.Candidate, 0, len(keys))
	for _, key := range keys {
		i, _ := v.Instance(key)
		m, ok := v.Member(key.Node)
		if !ok {
			continue
		}
		list = append(list, route.Candidate{
			Key:      key,
			Center:   m.Center,
			Addr:     m.Addr,
			Epoch:    m.Epoch,
			Slots:    i.Slots,
			Born:     i.Born,
			Excluded: i.Leaving || m.Reachability == view.Unreachable || v.Ejected(key),
		})
	}
	return list
}

// withRumors adds the instances that nodes have reported to each other; they replace
// those in the list with the same key. An instance that has said that it leaves stays
// excluded.
func withRumors(v *view.View, list []route.Candidate, rumors []proto.Rumor) []route.Candidate {
	for _, r := range rumors {
		c := route.Candidate{
			Key:      r.Key(),
			Center:   r.Member.Center,
			Addr:     r.Member.Addr,
			Epoch:    r.Member.Epoch,
			Slots:    r.Instance.Slots,
			Born:     r.Instance.Born,
			Excluded: r.Instance.Leaving || v.HasLeft(r.Key(), r.Instance.Born),
		}
		at := slices.IndexFunc(list, func(known route.Candidate) bool { return known.Key == c.Key })
		if at >= 0 && list[at].Born > c.Born {
			continue
		}
		if at >= 0 {
			list[at] = c
			continue
		}
		list = append(list, c)
	}
	return list
}

func sameRoutes(a, b spec.Service) bool {
	if len(a.Routes) != len(b.Routes) || a.Name != b.Name {
		return false
	}
	for i := range a.Routes {
		if a.Routes[i] != b.Routes[i] {
			return false
		}
	}
	return true
}
