package ctrl

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// FleetStatus is the response of GET /v1/status.
type FleetStatus struct {
	Rev      uint64                  `json:"rev"`
	Leader   string                  `json:"leader"`
	Term     uint64                  `json:"term"`
	Hosts    []raft.Peer             `json:"hosts"`
	Services []ServiceStatus         `json:"services"`
	Nodes    []proto.AppliedRevision `json:"nodes"`
	Groups   []GroupStatus           `json:"groups"`
}

// GroupStatus is the status of a claim group held by the responding host.
type GroupStatus struct {
	Group  uint32      `json:"group"`
	Leader string      `json:"leader"`
	Ready  bool        `json:"ready"`
	Hosts  []raft.Peer `json:"hosts"`
}

// ServiceStatus is the accepted revision of a service and its rollout: it is in force
// once every node has applied it. Applied counts the nodes that have.
type ServiceStatus struct {
	Name    string   `json:"name"`
	Rev     uint64   `json:"rev"`
	InForce bool     `json:"force"`
	Applied int      `json:"held"`
	Lagging []string `json:"lagging,omitempty"`
	Floor   int      `json:"floor"`
	Healthy int      `json:"healthy"`
	Ejected []string `json:"ejected,omitempty"`
}

// getStatus returns the status of the fleet, with the rollout of each service.
func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	nodes, err := s.nodeRevisions(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	status := s.replica.Status()
	out := FleetStatus{
		Term:   status.Term,
		Leader: status.leaderName(),
		Hosts:  status.Peers,
		Nodes:  nodes,
		Groups: s.claimGroupStatus(),
	}
	s.replica.Read(func(m store.Model) {
		out.Rev = m.View().Rev
		for _, v := range m.View().Services() {
			out.Services = append(out.Services, serviceStatus(m, v, nodes))
		}
	})
	writeJSON(w, http.StatusOK, out)
}

// claimGroupStatus returns the status of the claim groups held by this host, sorted by
// ID.
func (s *Server) claimGroupStatus() []GroupStatus {
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

// leaderName returns the name of the group's leader, or "" if unknown.
func (s Status) leaderName() string {
	for _, p := range s.Peers {
		if p.ID == s.Leader {
			return p.Name
		}
	}
	return ""
}

func serviceStatus(m store.Model, v view.VersionedService, nodes []proto.AppliedRevision) ServiceStatus {
	status := ServiceStatus{
		Name:    v.Service.Name,
		Rev:     v.Rev,
		Floor:   v.Service.Floor,
		Healthy: m.Healthy(v.Service.Name),
	}
	for _, n := range nodes {
		if n.Rev >= v.Rev {
			status.Applied++
			continue
		}
		status.Lagging = append(status.Lagging, n.Node)
	}
	status.InForce = len(nodes) > 0 && len(status.Lagging) == 0
	for _, k := range m.View().EjectedKeys() {
		if i, ok := m.View().Instance(k); ok && i.Service == v.Service.Name {
			status.Ejected = append(status.Ejected, k.String())
		}
	}
	return status
}

// nodeRevisions returns the revision that each member has applied, as known to the
// leader.
func (s *Server) nodeRevisions(ctx context.Context) ([]proto.AppliedRevision, error) {
	if s.isLeader() {
		return s.membership.appliedRevisions(), nil
	}
	addr := s.leaderAddr()
	if addr == "" {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, _rpcTimeout)
	defer cancel()
	reply, err := s.client.CallWith(ctx, addr, proto.ListRevisions{}, wire.CallOptions{MaxReply: _maxLongReply})
	if err != nil {
		return nil, errors.Errorf("list revisions: %w", err)
	}
	revisions, _ := reply.(proto.ListRevisionsReply)
	return revisions.Nodes, nil
}

func (s *Server) listMembers(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var hosts []view.Host
	s.replica.Read(func(m store.Model) { hosts = m.View().Snapshot().Hosts })
	writeJSON(w, http.StatusOK, hosts)
}
