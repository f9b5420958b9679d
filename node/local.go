package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/spread"
	"github.com/damaskpitch/damaskpitch/view"
)

const _maxAnnouncement = 4 << 10

// Announcement is what a backend server tells the node on its host.
type Announcement struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	Lease   spec.Duration `json:"lease,omitempty"`
}

// Check returns a FieldError for the first field that is wrong.
func (a Announcement) Check() error {
	if a.Lease < 0 || a.Lease.Std() > _maxLease {
		return &spec.FieldError{Field: "Announcement.lease", Value: a.Lease.String(), Want: "0s to 10m"}
	}
	return view.Instance{ID: a.ID, Service: a.Service, Addr: a.Addr}.Check()
}

// localHandler serves the backend servers on this host.
func (s *Server) localHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/announce", s.serveAnnounce).Methods(http.MethodPost)
	r.HandleFunc("/v1/leave/{id}", s.serveLeave).Methods(http.MethodPost)
	r.HandleFunc("/v1/health", s.serveHealth).Methods(http.MethodGet)
	r.Handle("/metrics", s.meter.Handler).Methods(http.MethodGet)
	return r
}

func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	a, err := ParseAnnouncement(http.MaxBytesReader(w, r.Body, _maxAnnouncement))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lease := a.Lease.Std()
	if lease == 0 {
		lease = _defaultLease
	}
	s.announce(view.Instance{ID: a.ID, Service: a.Service, Addr: a.Addr}, lease)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLeave(w http.ResponseWriter, r *http.Request) {
	if !s.withdraw(mux.Vars(r)["id"]) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	var rev uint64
	s.follow.with(r.Context(), func(m spread.Model) { rev = m.View().Rev })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Rev   uint64 `json:"rev"`
		Epoch uint64 `json:"epoch"`
	}{rev, s.epoch.Load()})
}

// bequeath hands a successor what it needs to serve at once.
func (s *Server) bequeath(ctx context.Context) (proto.Legacy, error) {
	legacy := proto.Legacy{Epoch: s.epoch.Load()}
	s.mu.Lock()
	for _, b := range s.backs {
		legacy.Leases = append(legacy.Leases, proto.Lease{Instance: b.instance, Left: b.lease - s.now()})
	}
	s.mu.Unlock()
	if !s.follow.with(ctx, func(m spread.Model) { legacy.View = m.View().Snapshot() }) {
		return legacy, errors.New("stopping")
	}
	return legacy, nil
}

// inherit asks a predecessor at this node's own address before listening.
func (s *Server) inherit(ctx context.Context) {
	reply, err := s.call(ctx, s.cfg.Settings.Peer, proto.Inherit{})
	legacy, ok := reply.(proto.Legacy)
	if err != nil || !ok {
		return
	}
	s.inherited = true
	s.epoch.Store(max(s.epoch.Load(), legacy.Epoch+1))
	s.follow.update(ctx, spread.DeltaMsg{At: s.now(), Source: spread.Peer, Addr: s.cfg.Settings.Peer, Delta: proto.Delta{
		Cluster: legacy.View.Cluster, Rev: legacy.View.Rev, Snapshot: &legacy.View,
	}})
	for _, l := range legacy.Leases {
		s.announce(l.Instance, max(l.Left, time.Second))
	}
	s.log.Info("inherited", slog.Int("instances", len(legacy.Leases)), slog.Uint64("rev", legacy.View.Rev))
}
