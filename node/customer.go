package node

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/access"
)

const (
	_authorization = "Authorization"
	_bearer        = "bearer "
	// _leaseWait bounds how long a request waits at a node that has just started for the
	// first confirmation of its plan, which takes one call to a control host.
	_leaseWait = 1500 * time.Millisecond

	_reasonUnknownKey = "unknown key"
	_reasonStalePlan  = "the plan may be out of date"
)

// authenticate finds the customer of a request by its key, which it removes from the header
// that is sent on. It responds and returns false if the request must not run.
func (e *exchange) authenticate() bool {
	s := e.server
	if s.headers.Customer != "" {
		delete(e.header, http.CanonicalHeaderKey(s.headers.Customer))
	}
	customers := s.fleet.customerTable()
	if customers == nil {
		return true
	}
	delete(e.header, _authorization)
	if e.match.Plan != nil && e.match.Plan.Public {
		return true
	}
	if !s.mayHonourKeys(e.r.Context()) {
		s.stats.unleased.Inc(1)
		s.log.Info("request refused", slog.String("request", e.id), slog.String("reason", _reasonStalePlan),
			slog.Duration("age", s.planAge()), slog.Uint64("version", s.fleet.planVersion()))
		e.w.Header().Set("Retry-After", "1")
		refuse(e.w, http.StatusServiceUnavailable, _reasonStalePlan)
		return false
	}
	customer, ok := s.fleet.customerTable().Find(bearerKey(e.r.Header))
	if !ok {
		s.stats.keyless.Inc(1)
		s.log.Info("request refused", slog.String("request", e.id), slog.String("reason", _reasonUnknownKey),
			slog.Duration("age", s.planAge()), slog.Uint64("version", s.fleet.planVersion()))
		e.w.Header().Set("WWW-Authenticate", "Bearer")
		refuse(e.w, http.StatusUnauthorized, _reasonUnknownKey)
		return false
	}
	e.customer = customer
	return true
}

// bearerKey returns the key that a request carries, or "" unless it carries exactly one.
func bearerKey(h http.Header) string {
	values := h[_authorization]
	if len(values) != 1 || len(values[0]) < len(_bearer) || !strings.EqualFold(values[0][:len(_bearer)], _bearer) {
		return ""
	}
	return strings.TrimSpace(values[0][len(_bearer):])
}

// priority returns the priority of the request: its customer's, or else its route's.
func (e *exchange) priority() int {
	if e.customer != nil && e.customer.Priority != nil {
		return *e.customer.Priority
	}
	return e.match.Priority()
}

// mayHonourKeys reports whether the node's plan is known to be recent enough for keys. It
// waits for the first confirmation on a node that has just started.
func (s *Server) mayHonourKeys(ctx context.Context) bool {
	for end := time.Now().Add(_leaseWait); ; {
		lease := s.lease()
		if lease.Valid(bootTime()) {
			return true
		}
		if _, known := lease.Age(0); known || time.Now().After(end) || s.isStopping() || !sleep(ctx, _tickInterval) {
			return false
		}
	}
}

// lease returns the node's present right to honour keys.
func (s *Server) lease() access.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planLease
}

// planAge returns how long ago the plan was known to be current, or 0 if it never was.
func (s *Server) planAge() time.Duration {
	if age, known := s.lease().Age(bootTime()); known {
		return age
	}
	return 0
}

// confirmPlan renews the right to honour keys, if this node's plan is at least the version
// that the leader had when it replied to a message sent at a reading of bootTime.
func (s *Server) confirmPlan(sentAt time.Duration, version uint64) {
	if s.fleet.planVersion() < version {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planLease = s.planLease.WithConfirmation(sentAt)
}
