package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_maxAnnouncement = 4 << 10
	// _handoverTimeout is how long a successor may take to listen after the handover.
	_handoverTimeout = 5 * time.Second
)

// Announcement is the message with which a backend server registers with the node on
// its host.
type Announcement struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Addr    string        `json:"addr"`
	Lease   spec.Duration `json:"lease,omitempty"`
}

// Check returns a FieldError for the first invalid field.
func (a Announcement) Check() error {
	if a.Lease < 0 || a.Lease.Std() > _maxLease {
		return &spec.FieldError{Field: "Announcement.lease", Value: a.Lease.String(), Want: "0s to 10m"}
	}
	return view.Instance{ID: a.ID, Service: a.Service, Addr: a.Addr}.Check()
}

// localHandler returns the handler for the backend servers on this host.
func (s *Server) localHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/announce", s.rejectAfterHandover(s.serveAnnounce)).Methods(http.MethodPost)
	r.HandleFunc("/v1/leave/{id}", s.rejectAfterHandover(s.serveLeave)).Methods(http.MethodPost)
	r.HandleFunc("/v1/instances/{id}", s.rejectAfterHandover(s.putInstance)).Methods(http.MethodPut)
	r.HandleFunc("/v1/instances/{id}", s.rejectAfterHandover(s.deleteInstance)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/ready", s.serveReady).Methods(http.MethodGet)
	r.HandleFunc("/v1/health", s.serveHealth).Methods(http.MethodGet)
	r.Handle("/metrics", s.meter.Handler).Methods(http.MethodGet)
	return r
}

// rejectAfterHandover rejects requests of instances after a handover, since the
// successor would not learn of them. It closes the connection, as a new one reaches
// the successor.
func (s *Server) rejectAfterHandover(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handover := s.handoverAt.Load()
		if handover > 0 && (s.isStopping() || s.now() < time.Duration(handover)+_handoverTimeout) {
			s.log.Info("instance request rejected after handover", slog.String("path", r.URL.Path), slog.Duration("after", s.now()-time.Duration(handover)))
			w.Header().Set("Connection", "close")
			http.Error(w, "a successor has taken over; ask again", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
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
	s.registerInstance(view.Instance{ID: a.ID, Service: a.Service, Addr: a.Addr}, lease)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLeave(w http.ResponseWriter, r *http.Request) {
	if !s.drainInstance(mux.Vars(r)["id"]) {
		http.Error(w, "no such instance", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	var rev uint64
	s.viewSync.withModel(r.Context(), func(m gossip.Model) { rev = m.View().Rev })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Rev   uint64 `json:"rev"`
		Epoch uint64 `json:"epoch"`
	}{rev, s.epoch.Load()})
}

// handOver returns the state that a successor needs to serve immediately.
func (s *Server) handOver(ctx context.Context) (proto.Handover, error) {
	handover := proto.Handover{Epoch: s.epoch.Load()}
	s.handoverAt.Store(int64(s.now()))
	s.mu.Lock()
	for _, b := range s.backends {
		handover.Leases = append(handover.Leases, proto.Lease{Instance: b.instance, Remaining: b.leaseUntil - s.now()})
	}
	s.mu.Unlock()
	if !s.viewSync.withModel(ctx, func(m gossip.Model) { handover.View = m.View().Snapshot() }) {
		return handover, errors.New("stopping")
	}
	return handover, nil
}

// takeOver takes the state of a predecessor process, if one still runs at this node's
// peer address. It must run before the node listens there.
func (s *Server) takeOver(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	reply, err := s.client.CallWith(callCtx, s.cfg.Settings.Peer, proto.TakeOver{}, wire.CallOptions{MaxReply: _maxViewReply})
	handover, ok := reply.(proto.Handover)
	if err != nil || !ok {
		return
	}
	s.tookOver = true
	s.epoch.Store(max(s.epoch.Load(), handover.Epoch+1))
	s.viewSync.update(ctx, gossip.DeltaMsg{At: s.now(), Source: gossip.Peer, Addr: s.cfg.Settings.Peer, Delta: proto.Delta{
		Cluster: handover.View.Cluster, Rev: handover.View.Rev, Snapshot: &handover.View,
	}})
	for _, l := range handover.Leases {
		s.registerInstance(l.Instance, max(l.Remaining, time.Second))
	}
	s.log.Info("took over from predecessor", slog.Int("instances", len(handover.Leases)), slog.Uint64("rev", handover.View.Rev))
}
