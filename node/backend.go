package node

import (
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/drain"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/trust"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_defaultLease = 10 * time.Second
	_maxLease     = 10 * time.Minute
	// _backendIdleTimeout is how long a connection to a backend server may be idle.
	// Some backend servers drop idle connections after a few hundred milliseconds.
	_backendIdleTimeout = 250 * time.Millisecond
)

// backend is the state of one instance on this host.
type backend struct {
	instance       view.Instance
	leaseUntil     time.Duration // end of the lease of its announcement
	registeredAt   time.Duration
	patience       spec.Patience
	health         detect.Model
	ejectedRev     uint64 // view revision from which its ejection shows; 0 if not ejected
	breaker        trust.Model
	typicalTime    time.Duration // smoothed time of a request; 0 if unknown
	durations      drain.Durations
	probeCountedAt time.Duration // when a probe's result was last counted
	retryBudget    retry.Budget  // for requests that may have run before
	inFlight       map[ledger.Ref]*work
	bodyTimePerMiB time.Duration // smoothed time of a response body per MiB; 0 if unknown
	notice         notice        // of its last response
	responded      bool          // since it was announced here
	crashedAt      time.Duration // of its last crash that this process noticed; 0 if none
	// pooled reuses connections, for requests that may be repeated. unpooled opens a
	// connection for each request.
	pooled, unpooled *http.Transport
}

// registerInstance adds an instance or renews its lease.
func (s *Server) registerInstance(i view.Instance, lease time.Duration) {
	limits, patience := s.limitsOf(i.Service, i.Slots)
	s.mu.Lock()
	b, known := s.backends[i.ID]
	if known && b.instance.Service != i.Service {
		s.removeLocked(b)
		known = false
	}
	if !known {
		b = s.newBackend(i, patience, limits)
		s.backends[i.ID] = b
	}
	if known && b.instance.Leaving {
		i = i.WithLeaving()
	}
	changed := !known || b.instance != i
	b.instance = i
	b.leaseUntil = s.now() + lease
	if !known {
		s.updateGateLocked(gate.RegisterMsg{ID: i.ID, Limits: limits, At: s.now()})
	}
	if !known && i.Leaving {
		// It has said so to an earlier process of this node, which knew its grace period.
		s.updateGateLocked(gate.LeaveMsg{ID: i.ID, Until: s.now()})
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	s.log.Info("instance announced", slog.String("instance", i.ID), slog.String("service", i.Service), slog.String("addr", i.Addr),
		slog.Bool("leaving", i.Leaving), slog.Duration("since_start", s.now()))
	s.heartbeatSoon()
}

func (s *Server) newBackend(i view.Instance, patience spec.Patience, limits gate.Limits) *backend {
	b := &backend{
		instance:     i,
		registeredAt: s.now(),
		patience:     patience,
		health:       detect.New(detect.Config{Patience: patience, WarmAt: s.now() + limits.Warmup, Warmup: limits.Warmup}),
		inFlight:     map[ledger.Ref]*work{},
		unpooled:     newTransport(s.headLimits.Lines),
	}
	// With one request per connection, no response can be taken for another request's.
	b.unpooled.DisableKeepAlives = true
	b.pooled = b.unpooled
	if s.headers.EchoesRequestID {
		b.pooled = newTransport(s.headLimits.Lines)
		b.pooled.IdleConnTimeout = _backendIdleTimeout
		b.pooled.MaxIdleConnsPerHost = max(limits.Slots, 1)
	}
	return b
}

func newTransport(maxLines int) *http.Transport {
	dialer := &net.Dialer{Timeout: _dialTimeout}
	return &http.Transport{
		DialContext:            heads.LimitResponses(stickyErrors(dialer.DialContext), maxLines),
		DisableCompression:     true,
		MaxResponseHeaderBytes: _maxHeaderBytes,
	}
}

// transport returns the transport for a request. A pooled connection may be dead
// or deliver a late response to an earlier request. The request ID in the response
// reveals the latter, and a request that may be repeated survives both.
func (b *backend) transport(once bool) *http.Transport {
	if once {
		return b.unpooled
	}
	return b.pooled
}

// drainInstance marks an instance as leaving; it gets new requests only during the
// grace period of its service. It returns false for an unknown instance.
func (s *Server) drainInstance(id string) bool {
	s.mu.Lock()
	b, ok := s.backends[id]
	if !ok || b.instance.Leaving {
		s.mu.Unlock()
		return ok
	}
	service := b.instance.Service
	s.mu.Unlock()
	grace := s.fleet.spec(service).Grace.Std()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveLocked(b, grace)
	return true
}

// leaveLocked marks an instance as leaving, with the remainder of its grace period.
func (s *Server) leaveLocked(b *backend, grace time.Duration) {
	b.instance = b.instance.WithLeaving()
	s.updateGateLocked(gate.LeaveMsg{ID: b.instance.ID, Until: s.now() + grace})
	s.log.Info("draining instance", slog.String("instance", b.instance.ID), slog.Duration("grace", grace))
	s.heartbeatSoon()
}

// updateAllLimits applies the declarations of the services to their instances: the
// patience to all, the limits to those that are not leaving.
func (s *Server) updateAllLimits() {
	s.mu.Lock()
	backends := slices.Collect(maps.Values(s.backends))
	s.mu.Unlock()
	for _, b := range backends {
		limits, patience := s.limitsOf(b.instance.Service, b.instance.Slots)
		s.mu.Lock()
		if s.backends[b.instance.ID] == b && !b.instance.Leaving {
			s.updateGateLocked(gate.RegisterMsg{ID: b.instance.ID, Limits: limits, At: s.now()})
		}
		if b.patience != patience {
			b.patience = patience
			b.health = detect.New(detect.Config{Patience: patience, WarmAt: b.registeredAt + limits.Warmup, Warmup: limits.Warmup})
		}
		s.mu.Unlock()
	}
}

func (s *Server) limitsOf(service string, slots int) (gate.Limits, spec.Patience) {
	declared := s.fleet.spec(service)
	limits := gate.Limits{Slots: declared.Slots, Queue: declared.Queue, Warmup: declared.Warmup.Std()}
	if slots > 0 {
		// An instance that reports its slots has all of them during its warmup too.
		limits.Slots = slots
		limits.Warmup = 0
	}
	return limits, declared.Patience
}

// expireLeases removes the idle instances whose lease has expired.
func (s *Server) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if s.now() < b.leaseUntil || len(b.inFlight) > 0 {
			continue
		}
		s.log.Info("instance lease expired", slog.String("instance", b.instance.ID))
		s.removeLocked(b)
		s.heartbeatSoon()
	}
}

func (s *Server) removeLocked(b *backend) {
	delete(s.backends, b.instance.ID)
	b.pooled.CloseIdleConnections()
	s.updateGateLocked(gate.RemoveMsg{ID: b.instance.ID, At: s.now()})
}

// instances returns the instances of this node, sorted by ID, and whether the node
// is stopping.
func (s *Server) instances() ([]view.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]view.Instance, 0, len(s.backends))
	for _, id := range slices.Sorted(maps.Keys(s.backends)) {
		list = append(list, s.backends[id].instance)
	}
	return list, s.isStopping()
}
