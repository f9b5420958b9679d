package node

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
)

// _probeInterval is the interval at which unreachable owners are probed.
const _probeInterval = 500 * time.Millisecond

// markOwnerUnreachable marks the owner of an attempt as unreachable.
func (e *exchange) markOwnerUnreachable(res *attemptResult) {
	e.server.markUnreachable(res.choice.Candidate)
}

// markUnreachable keeps requests away from an owner until a probe reaches it.
func (s *Server) markUnreachable(c route.Candidate) {
	s.fleet.setUnreachable(c.Addr, true)
	defer s.probeSoon()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable[c.Addr] {
		s.unreachable[c.Addr] = true
		s.log.Warn("marked a node as unreachable", slog.String("host", c.Key.Node), slog.String("addr", c.Addr))
	}
}

// isFar reports whether an instance is in another data centre.
func (s *Server) isFar(c route.Candidate) bool {
	return c.Center != s.cfg.Settings.Center
}

// probeUnreachable probes unreachable owners at an interval, so that those that
// are reachable again receive requests.
func (s *Server) probeUnreachable(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.unreachableNow:
		}
		if !sleep(ctx, _probeInterval) {
			return nil
		}
		s.mu.Lock()
		addrs := slices.Collect(maps.Keys(s.unreachable))
		s.mu.Unlock()
		for _, addr := range addrs {
			go s.probeOwner(ctx, addr)
		}
		if len(addrs) > 0 {
			s.probeSoon()
		}
	}
}

// probeSoon starts the interval until the unreachable owners are probed.
func (s *Server) probeSoon() {
	select {
	case s.unreachableNow <- struct{}{}:
	default:
	}
}

// probeOwner probes an owner and marks it as reachable if the probe succeeds, or if
// no instance has that owner any more.
func (s *Server) probeOwner(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, _queryTimeout)
	defer cancel()
	_, err := s.client.CallNewConn(ctx, addr, proto.Hello{})
	if err != nil && s.fleet.hasInstancesAt(addr) {
		return
	}
	s.mu.Lock()
	delete(s.unreachable, addr)
	s.mu.Unlock()
	s.fleet.setUnreachable(addr, false)
	s.log.Info("node is no longer marked as unreachable", slog.String("addr", addr), slog.Any("error", err))
}

// updateOwnerEpoch takes over the epoch of an owner that has restarted since the
// view was made. If the response came from a predecessor of the owner, which still
// serves old connections, those connections are dropped.
func (e *exchange) updateOwnerEpoch(res *attemptResult) {
	epoch, err := strconv.ParseUint(res.response.Header.Get(_headerOwner), 10, 64)
	if err != nil || epoch <= res.choice.Candidate.Epoch {
		e.server.ownerConns.dropConns(res.choice.Candidate.Addr)
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.pool = e.service.pool.WithEpoch(res.choice.Candidate.Key.Node, epoch)
}

// recordLoad records the latency, load and health that an attempt showed of its
// instance. Of an attempt that lost to another one only the elapsed time counts, as
// a lower bound of the latency.
func (e *exchange) recordLoad(res *attemptResult) {
	latency := time.Since(res.startedAt)
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.loads.Update(res.choice.Candidate.Key, func(l *route.Load) {
		l.InFlight--
		if res.lostRace.Load() {
			*l = l.WithMinLatency(latency)
			return
		}
		switch res.reason {
		case string(gate.RecentFailures):
			refusal := res.refusesFor(_defaultRefusalTime)
			if e.server.isFar(res.choice.Candidate) {
				refusal = max(refusal, min(_farRefusalFactor*refusal, _maxFarRefusalTime))
			}
			l.RefusesUntil = e.server.now() + refusal
		case _reasonStop:
			l.RefusesUntil = e.server.now() + _stoppingRefusalTime
		case string(gate.UnknownInstance):
			l.RefusesUntil = e.server.now() + _unknownInstanceRefusalTime
		default:
			// The rate of a limited instance is used up for a while.
			l.RefusesUntil = max(l.RefusesUntil, e.server.now()+res.refusesFor(0))
		}
		l.LastFailed = res.execution != retry.Executed && res.execution != retry.NotExecuted || isServerFailure(res.response)
		if res.response == nil {
			return
		}
		if res.response.Header.Get(_headerUnhealthy) != "" {
			l.AvoidUntil = e.server.now() + _unhealthyAvoid
		}
		busy, _, _ := strings.Cut(res.response.Header.Get(_headerLoad), "/")
		l.Active, _ = strconv.Atoi(busy)
		l.ReportedAt = e.server.now()
		if reported, ok := parseMicros(res.response.Header.Get(_headerLatency)); ok {
			latency = reported
		}
		if bodyTime, ok := parseMicros(res.response.Header.Get(_headerBodyTime)); ok {
			l.BodyTimePerMiB = bodyTime
		}
		// A fast failure says nothing about the latency of successful requests.
		if res.execution == retry.Executed && !l.LastFailed {
			*l = l.WithLatency(e.server.now(), latency)
			if e.match.Plan != nil {
				e.service.latencies.Record(e.match.Plan.Name, latency)
			}
		}
	})
}

// refusesFor returns how long the owner says it will refuse requests for the instance, or
// the fallback if it does not say so.
func (r *attemptResult) refusesFor(fallback time.Duration) time.Duration {
	if r.response == nil {
		return fallback
	}
	refusalTime, ok := parseMillis(r.response.Header.Get(_headerRefusesFor))
	if !ok {
		return fallback
	}
	return min(refusalTime, _maxRefusalTime)
}

// isServerFailure reports whether the response is a failure of the backend server.
// 503 with Retry-After is not: the server is shedding load.
func isServerFailure(r *http.Response) bool {
	if r == nil || r.StatusCode < http.StatusInternalServerError || r.StatusCode == http.StatusNotImplemented {
		return false
	}
	return r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == ""
}
