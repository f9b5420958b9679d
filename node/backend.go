package node

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/trust"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_defaultLease = 10 * time.Second
	_maxLease     = 10 * time.Minute
	// _keptIdle is how long a connection to a backend server may rest: some
	// forget theirs after a few hundred milliseconds.
	_keptIdle = 250 * time.Millisecond
)

// backend is one instance beside this node.
type backend struct {
	instance view.Instance
	lease    time.Duration // until when it is announced
	since    time.Duration
	patience spec.Patience
	judge    judge.Model
	trust    trust.Model
	took     time.Duration // the usual time of a request, or 0
	evidence time.Duration // when a trial last counted as evidence
	budget   retry.Budget  // of requests that may have run before
	running  map[ledger.Ref]*work
	pace     time.Duration // smoothed, for a MiB of an answer's body, or 0
	// kept reuses connections for requests that may be repeated, fresh opens one
	// for each request.
	kept, fresh *http.Transport
}

// announce takes a backend server's announcement or renewal.
func (s *Server) announce(i view.Instance, lease time.Duration) {
	limits, patience := s.limits(i.Service, i.Slots)
	grace := s.fleet.spec(i.Service).Grace.Std()
	s.mu.Lock()
	b, known := s.backs[i.ID]
	if known && b.instance.Service != i.Service {
		s.dropLocked(b)
		known = false
	}
	if !known {
		b = s.newBackend(i, patience, limits)
		s.backs[i.ID] = b
	}
	if known && b.instance.Leaving {
		i = i.WithLeaving()
	}
	changed := !known || b.instance != i
	b.instance = i
	b.lease = s.now() + lease
	if !known {
		s.tellLocked(gate.RegisterMsg{ID: i.ID, Limits: limits, At: s.now()})
	}
	if !known && i.Leaving {
		s.tellLocked(gate.LeaveMsg{ID: i.ID, Until: s.now() + grace})
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	s.log.Info("announce", slog.String("instance", i.ID), slog.String("service", i.Service), slog.String("addr", i.Addr))
	s.hurry()
}

func (s *Server) newBackend(i view.Instance, patience spec.Patience, limits gate.Limits) *backend {
	b := &backend{
		instance: i,
		since:    s.now(),
		patience: patience,
		judge:    judge.New(judge.Config{Patience: patience, WarmAt: s.now() + limits.Warmup, Warmup: limits.Warmup}),
		running:  map[ledger.Ref]*work{},
		fresh:    newTransport(),
	}
	// One request a connection: no answer can meet another's request.
	b.fresh.DisableKeepAlives = true
	b.kept = b.fresh
	if s.names.EchoesRequestID {
		b.kept = newTransport()
		b.kept.IdleConnTimeout = _keptIdle
		b.kept.MaxIdleConnsPerHost = max(limits.Slots, 1)
	}
	return b
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: _dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
}

// transport returns the connections for a request. A kept connection may be
// dead, or bring a late answer to an earlier request: the request's identifier
// in the answer tells that, and a request that may be repeated outlives both.
func (b *backend) transport(once bool) *http.Transport {
	if once {
		return b.fresh
	}
	return b.kept
}

// withdraw lets an instance finish: new work only within the grace.
func (s *Server) withdraw(id string) bool {
	s.mu.Lock()
	b, ok := s.backs[id]
	if !ok || b.instance.Leaving {
		s.mu.Unlock()
		return ok
	}
	service := b.instance.Service
	s.mu.Unlock()
	grace := s.fleet.spec(service).Grace.Std()
	s.mu.Lock()
	b.instance = b.instance.WithLeaving()
	s.tellLocked(gate.LeaveMsg{ID: id, Until: s.now() + grace})
	s.mu.Unlock()
	s.log.Info("leaving", slog.String("instance", id), slog.Duration("grace", grace))
	s.hurry()
	return true
}

// limitAll follows the declared limits of every service.
func (s *Server) limitAll() {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.backs))
	s.mu.Unlock()
	for _, b := range list {
		limits, patience := s.limits(b.instance.Service, b.instance.Slots)
		s.mu.Lock()
		if s.backs[b.instance.ID] == b && !b.instance.Leaving {
			s.tellLocked(gate.RegisterMsg{ID: b.instance.ID, Limits: limits, At: s.now()})
		}
		if b.patience != patience {
			b.patience = patience
			b.judge = judge.New(judge.Config{Patience: patience, WarmAt: b.since + limits.Warmup, Warmup: limits.Warmup})
		}
		s.mu.Unlock()
	}
}

func (s *Server) limits(service string, slots int) (gate.Limits, spec.Patience) {
	declared := s.fleet.spec(service)
	limits := gate.Limits{Slots: declared.Slots, Queue: declared.Queue, Warmup: declared.Warmup.Std()}
	if slots > 0 {
		// An instance that tells its slots has all of them also while it is cold.
		limits.Slots = slots
		limits.Warmup = 0
	}
	return limits, declared.Patience
}

// expireLeases drops the instances that no longer renew.
func (s *Server) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backs {
		if s.now() < b.lease || len(b.running) > 0 {
			continue
		}
		s.log.Info("lease ran out", slog.String("instance", b.instance.ID))
		s.dropLocked(b)
		s.hurry()
	}
}

func (s *Server) dropLocked(b *backend) {
	delete(s.backs, b.instance.ID)
	b.kept.CloseIdleConnections()
	s.tellLocked(gate.RemoveMsg{ID: b.instance.ID, At: s.now()})
}

// instances returns what this node fronts, by name, and whether it leaves.
func (s *Server) instances() ([]view.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]view.Instance, 0, len(s.backs))
	for _, id := range slices.Sorted(maps.Keys(s.backs)) {
		list = append(list, s.backs[id].instance)
	}
	return list, s.stopping.Load()
}

// leave withdraws every instance when the node itself is to stop and has no
// successor.
func (s *Server) leave(ctx context.Context) error {
	<-ctx.Done()
	s.stopAt.Store(int64(s.now()))
	s.stopping.Store(true)
	s.log.Info("stopping")
	return nil
}
