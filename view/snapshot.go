package view

import (
	"cmp"

	"github.com/damaskpitch/damaskpitch/plan"
)

// Snapshot is a whole view in the form that is sent and stored.
type Snapshot struct {
	Rev      uint64              `json:"rev"`
	Cluster  uint64              `json:"cluster"`
	Groups   uint32              `json:"groups,omitempty"`
	Services []VersionedService  `json:"services"`
	Hosts    []Host              `json:"hosts"`
	Ejected  []Key               `json:"ejected"`
	Bans     []FingerprintBanned `json:"bans"`
	// Departures are the instances that have said that they leave.
	Departures []Departure `json:"left,omitempty"`
	Plan       plan.Plan   `json:"plan"`
}

// Host is a member and its instances.
type Host struct {
	Member    Member     `json:"member"`
	Instances []Instance `json:"instances"`
}

// Snapshot returns a snapshot of the view.
func (v *View) Snapshot() Snapshot {
	s := Snapshot{Rev: v.Rev, Cluster: v.Cluster, Groups: v.Groups, Plan: v.Plan, Services: v.Services(), Ejected: v.EjectedKeys(), Bans: v.Bans(), Departures: v.Departures()}
	for _, m := range v.Members() {
		s.Hosts = append(s.Hosts, Host{Member: m, Instances: v.InstancesOf(m.Node)})
	}
	return s
}

// WithoutSecrets returns the snapshot with digests in place of customers' keys, in the form
// that nodes get.
func (s Snapshot) WithoutSecrets() Snapshot {
	s.Plan = s.Plan.WithoutSecrets()
	return s
}

// FromSnapshot returns the view of a snapshot.
func FromSnapshot(s Snapshot) *View {
	v := New()
	for _, versioned := range s.Services {
		v.services[versioned.Service.Name] = versioned
	}
	for _, h := range s.Hosts {
		v.members[h.Member.Node] = h.Member
		for _, i := range h.Instances {
			v.putInstance(InstancePut{Node: h.Member.Node, Instance: i})
		}
	}
	for _, k := range s.Ejected {
		v.ejected[k] = true
	}
	for _, b := range s.Bans {
		v.banned[b.Fingerprint] = b.Ban
	}
	for _, d := range s.Departures {
		v.departures[d.Key] = d
	}
	v.Rev = s.Rev
	v.Cluster = s.Cluster
	v.Groups = s.Groups
	v.Plan = s.Plan
	return v
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
}
