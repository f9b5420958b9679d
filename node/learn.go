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

// _probeInterval is how often a broken path is tried.
const _probeInterval = 500 * time.Millisecond

// blockPath avoids an owner that could not be reached.
func (e *exchange) blockPath(res *result) {
	e.server.breakPath(res.choice.Candidate)
}

// breakPath keeps requests off a path that is broken until a probe goes through.
func (s *Server) breakPath(c route.Candidate) {
	s.fleet.setUnreachable(c.Addr, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable[c.Addr] {
		s.unreachable[c.Addr] = true
		s.log.Warn("path broken", slog.String("host", c.Key.Node), slog.String("addr", c.Addr))
	}
}

// probePaths tries the broken paths and lets requests take those that are
// whole again.
func (s *Server) probePaths(ctx context.Context) error {
	ticker := time.NewTicker(_probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		addrs := slices.Collect(maps.Keys(s.unreachable))
		s.mu.Unlock()
		for _, addr := range addrs {
			go s.probePath(ctx, addr)
		}
	}
}

func (s *Server) probePath(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, _inquiryTimeout)
	defer cancel()
	_, err := s.client.CallNewConn(ctx, addr, proto.Hello{})
	if err != nil && s.fleet.hasInstancesAt(addr) {
		return
	}
	s.mu.Lock()
	delete(s.unreachable, addr)
	s.mu.Unlock()
	s.fleet.setUnreachable(addr, false)
	s.log.Info("path whole", slog.String("addr", addr), slog.Any("error", err))
}

// learnEpoch follows an owner that has restarted since the view was made; a
// predecessor that still answers on old connections is left behind.
func (e *exchange) learnEpoch(res *result) {
	epoch, err := strconv.ParseUint(res.response.Header.Get(_headerOwner), 10, 64)
	if err != nil || epoch <= res.choice.Candidate.Epoch {
		e.server.paths.doubt(res.choice.Candidate.Addr)
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.pool = e.service.pool.WithEpoch(res.choice.Candidate.Key.Node, epoch)
}

// note remembers what the answer told of the instance.
func (e *exchange) note(res *result) {
	took := time.Since(res.started)
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.loads.Update(res.choice.Candidate.Key, func(l *route.Load) {
		l.InFlight--
		if res.beaten.Load() {
			*l = l.WithMinLatency(took)
			return
		}
		switch res.reason {
		case string(gate.RecentFailures):
			l.RefusesUntil = e.server.now() + res.away()
		case _reasonStop:
			l.RefusesUntil = e.server.now() + _stopAway
		case string(gate.NoInstance):
			l.RefusesUntil = e.server.now() + _absentAway
		}
		l.LastFailed = res.fate != retry.Executed && res.fate != retry.NotExecuted || failedStatus(res.response)
		if res.response == nil {
			return
		}
		if res.response.Header.Get(_headerSick) != "" {
			l.AvoidUntil = e.server.now() + _sickBlock
		}
		busy, _, _ := strings.Cut(res.response.Header.Get(_headerLoad), "/")
		l.Active, _ = strconv.Atoi(busy)
		l.ReportedAt = e.server.now()
		if told, ok := parseMicros(res.response.Header.Get(_headerTook)); ok {
			took = told
		}
		if pace, ok := parseMicros(res.response.Header.Get(_headerPace)); ok {
			l.BodyTimePerMiB = pace
		}
		// A failure that comes fast is no sign of speed.
		if res.fate == retry.Executed && !l.LastFailed {
			*l = l.WithLatency(e.server.now(), took)
			if e.match.Plan != nil {
				e.service.latencies.Record(e.match.Plan.Name, took)
			}
		}
	})
}

// away returns how long the owner wants such requests to stay away.
func (r *result) away() time.Duration {
	away, ok := parseMillis(r.response.Header.Get(_headerAgain))
	if !ok {
		return _doubtBlock
	}
	return min(away, _mostAway)
}

// failedStatus tells a failure from an answer; 503 with Retry-After is shed
// load.
func failedStatus(r *http.Response) bool {
	if r == nil || r.StatusCode < http.StatusInternalServerError || r.StatusCode == http.StatusNotImplemented {
		return false
	}
	return r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == ""
}
