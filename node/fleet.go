package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// fleet is what requests need of the view: it is replaced piece by piece as
// the view moves.
type fleet struct {
	center   string
	mu       sync.RWMutex
	table    *route.Table
	plans    *route.Table
	version  uint64 // of the plan that the table was made from
	told     bool   // what operators declare is known
	services map[string]*service
	groups   uint32 // of idempotency keys
	rumors   func(service string) []proto.Rumor
	banned   map[uint64]bool
	broken   map[string]bool      // addresses of owners that cannot be reached
	held     map[uint64]time.Time // until the whole fleet's ban is in force
}

// service is one service as this ingress knows it.
type service struct {
	mu     sync.Mutex
	spec   spec.Service
	pool   route.Pool
	book   *route.LoadTracker
	times  route.Latencies
	budget retry.Budget
}

func newFleet(center string) *fleet {
	return &fleet{center: center, table: route.NewTable(nil), plans: route.NewPlanTable(nil), services: map[string]*service{}, held: map[uint64]time.Time{}, broken: map[string]bool{}}
}

// find returns the match of a request and its service; at in [0, 1) draws the
// part of a route that several services share.
func (f *fleet) find(host, method, path string, at float64) (route.Match, *service, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if match, ok := f.plans.Find(host, method, path); ok && strings.HasPrefix(path, match.Plan.Path) {
		s := f.services[match.Plan.Pick(at)]
		if s == nil {
			return match, nil, false
		}
		match.Service = s.declared()
		return match, s, true
	}
	match, ok := f.table.Find(host, method, path)
	if !ok {
		return match, nil, false
	}
	s := f.services[match.Service.Name]
	return match, s, s != nil
}

// size returns the number of a service's instances.
func (f *fleet) size(name string) int {
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

// setBroken notes whether an owner's address cannot be reached.
func (f *fleet) setBroken(addr string, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if broken {
		f.broken[addr] = true
	} else {
		delete(f.broken, addr)
	}
	for _, s := range f.services {
		s.mu.Lock()
		s.pool = s.pool.WithUnreachable(f.broken)
		s.mu.Unlock()
	}
}

// fronts reports whether any instance lies behind an owner's address.
func (f *fleet) fronts(addr string) bool {
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

// planVersion returns the version of the plan that is in force here, or 0.
func (f *fleet) planVersion() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.version
}

// knows reports whether what operators declare is known.
func (f *fleet) knows() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.told
}

// declared returns the service as it is declared now.
func (s *service) declared() *spec.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := s.spec
	return &declared
}

// bans reports whether requests with the fingerprint are refused.
func (f *fleet) bans(mark uint64) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.banned[mark] || time.Now().Before(f.held[mark])
}

// hold refuses requests with the fingerprint at this ingress for a while.
func (f *fleet) hold(mark uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for old, until := range f.held {
		if time.Now().After(until) {
			delete(f.held, old)
		}
	}
	f.held[mark] = time.Now().Add(_banHold)
}

// spec returns a service's declaration, or the defaults while there is none.
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

// update follows the view in the given services, or in all of them.
func (f *fleet) update(v *view.View, names []string, all bool) {
	banned := make(map[uint64]bool)
	for _, mark := range v.Banned() {
		banned[mark] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.banned = banned
	f.groups = v.Groups
	f.told = f.told || v.Plan.Version > 0 || len(v.Services()) > 0
	if f.version != v.Plan.Version {
		f.version = v.Plan.Version
		f.plans = route.NewPlanTable(v.Plan.Routes)
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
	routes := all
	for _, name := range names {
		list := candidates(v, name)
		if f.rumors != nil {
			list = withRumors(list, f.rumors(name))
		}
		routes = f.updateService(v, name, list) || routes
	}
	if routes {
		f.rebuild(v)
	}
}

// groupOf returns the group that an idempotency key belongs to, or false while
// the view does not tell how many groups there are.
func (f *fleet) groupOf(key string) (uint32, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.groups == 0 {
		return 0, false
	}
	return place.GroupOf(key, f.groups), true
}

// updateService reports whether the service's declaration changed.
func (f *fleet) updateService(v *view.View, name string, list []route.Candidate) bool {
	declared, ok := v.Service(name)
	s := f.services[name]
	if !ok {
		delete(f.services, name)
		return s != nil
	}
	if s == nil {
		s = &service{book: route.NewLoadTracker(), times: route.Latencies{}}
		f.services[name] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !sameRoutes(s.spec, declared.Service)
	s.spec = declared.Service
	s.pool = route.NewPool(declared, f.center, list).WithUnreachable(f.broken)
	s.book.Retain(s.pool)
	return changed
}

func (f *fleet) rebuild(v *view.View) {
	services := v.Services()
	list := make([]spec.Service, 0, len(services))
	for _, s := range services {
		list = append(list, s.Service)
	}
	f.table = route.NewTable(list)
}

// candidates lists the instances of a service.
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
			Excluded: i.Leaving || m.Reachability == view.Unreachable || v.Ejected(key),
		})
	}
	return list
}

// withRumors adds the instances that nodes have told each other of, in the
// place of older ones.
func withRumors(list []route.Candidate, rumors []proto.Rumor) []route.Candidate {
	for _, r := range rumors {
		c := route.Candidate{
			Key:      r.Key(),
			Center:   r.Member.Center,
			Addr:     r.Member.Addr,
			Epoch:    r.Member.Epoch,
			Slots:    r.Instance.Slots,
			Excluded: r.Instance.Leaving,
		}
		at := slices.IndexFunc(list, func(known route.Candidate) bool { return known.Key == c.Key })
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
