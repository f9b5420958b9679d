package ctrl

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// FleetStatus is what the status call answers.
type FleetStatus struct {
	Rev      uint64          `json:"rev"`
	Leader   string          `json:"leader"`
	Term     uint64          `json:"term"`
	Hosts    []raft.Peer     `json:"hosts"`
	Services []ServiceStatus `json:"services"`
	Nodes    []proto.Held    `json:"nodes"`
	Groups   []GroupStatus   `json:"groups"`
}

// GroupStatus is one group of idempotency keys that the asked host holds.
type GroupStatus struct {
	Group  uint32      `json:"group"`
	Leader string      `json:"leader"`
	Ready  bool        `json:"ready"`
	Hosts  []raft.Peer `json:"hosts"`
}

// ServiceStatus says what is accepted and what is in force.
type ServiceStatus struct {
	Name    string   `json:"name"`
	Rev     uint64   `json:"rev"`
	Force   bool     `json:"force"`
	Held    int      `json:"held"`
	Lagging []string `json:"lagging,omitempty"`
	Floor   int      `json:"floor"`
	Healthy int      `json:"healthy"`
	Ejected []string `json:"ejected,omitempty"`
}

// getStatus answers what is accepted, what is in force, and who lags.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	if !s.current(w, r) {
		return
	}
	nodes, err := s.census(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	status := s.replica.Status()
	out := FleetStatus{
		Term:   status.Term,
		Leader: status.leaderName(),
		Hosts:  status.Peers,
		Nodes:  nodes,
		Groups: s.claimGroups(),
	}
	s.replica.Read(func(m store.Model) {
		out.Rev = m.View().Rev
		for _, v := range m.View().Services() {
			out.Services = append(out.Services, serviceStatus(m, v, nodes))
		}
	})
	writeJSON(w, http.StatusOK, out)
}

// claimGroups lists the groups of keys that this host holds, by number.
func (s *Server) claimGroups() []GroupStatus {
	var list []GroupStatus
	for _, id := range slices.Sorted(maps.Keys(s.groups)) {
		if id == place.FleetGroup {
			continue
		}
		g := s.groups[id]
		status := g.replica.Status()
		list = append(list, GroupStatus{Group: id, Leader: status.leaderName(), Ready: g.ready(), Hosts: status.Peers})
	}
	return list
}

// leaderName returns the name of the group's leader, or nothing.
func (s Status) leaderName() string {
	for _, p := range s.Peers {
		if p.ID == s.Leader {
			return p.Name
		}
	}
	return ""
}

func serviceStatus(m store.Model, v view.VersionedService, nodes []proto.Held) ServiceStatus {
	status := ServiceStatus{
		Name:    v.Service.Name,
		Rev:     v.Rev,
		Floor:   v.Service.Floor,
		Healthy: m.Healthy(v.Service.Name),
	}
	for _, n := range nodes {
		if n.Rev >= v.Rev {
			status.Held++
			continue
		}
		status.Lagging = append(status.Lagging, n.Node)
	}
	status.Force = len(nodes) > 0 && len(status.Lagging) == 0
	for _, k := range m.View().EjectedKeys() {
		if i, ok := m.View().Instance(k); ok && i.Service == v.Service.Name {
			status.Ejected = append(status.Ejected, k.String())
		}
	}
	return status
}

// census asks the leader which revision each member has in force.
func (s *Server) census(ctx context.Context) ([]proto.Held, error) {
	if s.leading() {
		return s.membership.holding(), nil
	}
	addr := s.leaderAddr()
	if addr == "" {
		return nil, ErrUnavailable
	}
	reply, err := s.call(ctx, addr, proto.ListRevisions{})
	if err != nil {
		return nil, err
	}
	holding, _ := reply.(proto.ListRevisionsReply)
	return holding.Nodes, nil
}

func (s *Server) listMembers(w http.ResponseWriter, r *http.Request) {
	if !s.current(w, r) {
		return
	}
	var hosts []view.Host
	s.replica.Read(func(m store.Model) { hosts = m.View().Snapshot().Hosts })
	writeJSON(w, http.StatusOK, hosts)
}
