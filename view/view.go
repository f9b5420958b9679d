package view

import (
	"maps"
	"slices"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/spec"
)

// View is the state of the fleet at one revision. It is not safe for concurrent
// use.
type View struct {
	Rev           uint64
	Cluster       uint64
	Groups        uint32
	Plan          plan.Plan
	services      map[string]VersionedService
	members       map[string]Member
	instances     map[string]map[string]Instance
	keysByService map[string][]Key
	ejected       map[Key]bool
	banned        map[uint64]poison.Ban
	departures    map[Key]Departure
}

// VersionedService is a service and the revision of its last write.
type VersionedService struct {
	Service spec.Service `json:"service"`
	Rev     uint64       `json:"rev"`
}

// New returns an empty view at revision 0.
func New() *View {
	return &View{
		services:      map[string]VersionedService{},
		members:       map[string]Member{},
		instances:     map[string]map[string]Instance{},
		keysByService: map[string][]Key{},
		ejected:       map[Key]bool{},
		banned:        map[uint64]poison.Ban{},
		departures:    map[Key]Departure{},
	}
}

// Apply applies an event and returns the names of the services that it affects.
func (v *View) Apply(e Event) []string {
	v.Rev = max(v.Rev, e.Rev)
	switch c := e.Change.(type) {
	case ClusterBootstrapped:
		v.Cluster = c.Cluster
		v.Groups = c.Groups
	case PlanPatched:
		v.Plan = v.Plan.Apply(c.Patch)
	case InstanceLeft:
		return v.putDeparture(Departure{Key: c.Key, Born: c.Born, Rev: e.Rev})
	case DeparturesForgotten:
		v.forgetDepartures(c.Until)
	case FingerprintBanned:
		v.banned[c.Fingerprint] = c.Ban
	case FingerprintUnbanned:
		delete(v.banned, c.Fingerprint)
	case ServicePut:
		v.services[c.Service.Name] = VersionedService{Service: c.Service, Rev: e.Rev}
		return []string{c.Service.Name}
	case ServiceDeleted:
		delete(v.services, c.Name)
		return []string{c.Name}
	case MemberPut:
		return v.putMember(c.Member)
	case MemberDeleted:
		return v.deleteMember(c.Node)
	case InstancePut:
		return v.putInstance(c)
	case InstanceDeleted:
		return v.deleteInstance(c.Key)
	case InstanceEjected:
		v.ejected[c.Key] = true
		return v.serviceOf(c.Key)
	case InstanceRestored:
		delete(v.ejected, c.Key)
		return v.serviceOf(c.Key)
	}
	return nil
}

// Service returns a service and the revision of its last write.
func (v *View) Service(name string) (VersionedService, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (v *View) Services() []VersionedService {
	names := slices.Sorted(maps.Keys(v.services))
	list := make([]VersionedService, 0, len(names))
	for _, name := range names {
		list = append(list, v.services[name])
	}
	return list
}

// Member returns the member with the given node name.
func (v *View) Member(node string) (Member, bool) {
	m, ok := v.members[node]
	return m, ok
}

// MemberCount returns the number of members.
func (v *View) MemberCount() int {
	return len(v.members)
}

// Members returns all members, sorted by name.
func (v *View) Members() []Member {
	names := slices.Sorted(maps.Keys(v.members))
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, v.members[name])
	}
	return list
}

// Instance returns the instance with the given key.
func (v *View) Instance(k Key) (Instance, bool) {
	i, ok := v.instances[k.Node][k.ID]
	return i, ok
}

// InstancesOf returns the instances of a node, sorted by ID.
func (v *View) InstancesOf(node string) []Instance {
	ids := slices.Sorted(maps.Keys(v.instances[node]))
	list := make([]Instance, 0, len(ids))
	for _, id := range ids {
		list = append(list, v.instances[node][id])
	}
	return list
}

// KeysOf returns the keys of the instances of a service; the caller must not modify
// the slice.
func (v *View) KeysOf(service string) []Key {
	return v.keysByService[service]
}

// Ejected reports whether an instance is ejected.
func (v *View) Ejected(k Key) bool {
	return v.ejected[k]
}

// Bans returns the bans in ascending order of their fingerprints.
func (v *View) Bans() []FingerprintBanned {
	list := make([]FingerprintBanned, 0, len(v.banned))
	for _, fingerprint := range slices.Sorted(maps.Keys(v.banned)) {
		list = append(list, FingerprintBanned{Fingerprint: fingerprint, Ban: v.banned[fingerprint]})
	}
	return list
}

// EjectedKeys returns the keys of all ejected instances, sorted.
func (v *View) EjectedKeys() []Key {
	return slices.SortedFunc(maps.Keys(v.ejected), compareKeys)
}

func (v *View) putMember(m Member) []string {
	old, known := v.members[m.Node]
	v.members[m.Node] = m
	affected := v.servicesOf(m.Node)
	if known && old.Epoch != m.Epoch {
		v.deleteInstances(m.Node)
	}
	return affected
}

func (v *View) deleteMember(node string) []string {
	affected := v.servicesOf(node)
	v.deleteInstances(node)
	delete(v.members, node)
	return affected
}

func (v *View) deleteInstances(node string) {
	for id := range v.instances[node] {
		k := Key{Node: node, ID: id}
		v.removeFromIndex(k)
		delete(v.ejected, k)
	}
	delete(v.instances, node)
}

func (v *View) putInstance(c InstancePut) []string {
	list := v.instances[c.Node]
	if list == nil {
		list = map[string]Instance{}
		v.instances[c.Node] = list
	}
	affected := []string{c.Instance.Service}
	k := Key{Node: c.Node, ID: c.Instance.ID}
	old, known := list[c.Instance.ID]
	if known && old.Service != c.Instance.Service {
		affected = append(affected, old.Service)
		v.removeFromIndex(k)
		known = false
	}
	c.Instance.Service = v.intern(c.Instance.Service)
	if !known {
		v.keysByService[c.Instance.Service] = append(v.keysByService[c.Instance.Service], k)
	}
	list[c.Instance.ID] = c.Instance
	return affected
}

func (v *View) deleteInstance(k Key) []string {
	affected := v.serviceOf(k)
	v.removeFromIndex(k)
	delete(v.instances[k.Node], k.ID)
	delete(v.ejected, k)
	return affected
}

// intern returns the service name string that other instances of the service
// already use, so that each name is stored once.
func (v *View) intern(service string) string {
	if keys := v.keysByService[service]; len(keys) > 0 {
		return v.instances[keys[0].Node][keys[0].ID].Service
	}
	return service
}

// removeFromIndex removes an instance from keysByService.
func (v *View) removeFromIndex(k Key) {
	i, ok := v.Instance(k)
	if !ok {
		return
	}
	list := v.keysByService[i.Service]
	at := slices.Index(list, k)
	list[at] = list[len(list)-1]
	v.keysByService[i.Service] = list[:len(list)-1]
	if len(list) == 1 {
		delete(v.keysByService, i.Service)
	}
}

func (v *View) serviceOf(k Key) []string {
	i, ok := v.instances[k.Node][k.ID]
	if !ok {
		return nil
	}
	return []string{i.Service}
}

func (v *View) servicesOf(node string) []string {
	var names []string
	for _, i := range v.instances[node] {
		if !slices.Contains(names, i.Service) {
			names = append(names, i.Service)
		}
	}
	return names
}
