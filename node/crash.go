package node

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_crashProbeTimeout = 100 * time.Millisecond
	_reasonCrash       = "backend server crashed"
	_maxCrashes        = 2
)

// errCrashed means that the backend server crashed while it ran requests.
var errCrashed = errors.New(_reasonCrash)

// crashed reports whether a backend server that dropped a connection refuses new
// ones too.
func (s *Server) crashed(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, _crashProbeTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = c.Close()
	return false
}

// reportCrash reports the fingerprints of the requests in flight at a crashed instance
// to the control hosts. The first request that notices the crash reports it.
func (s *Server) reportCrash(id string, w *work) {
	life, fingerprints := s.recordCrash(id, w)
	if life == 0 {
		return
	}
	s.log.Warn("backend server crashed", slog.String("instance", id), slog.Uint64("life", life), slog.Any("prints", fingerprints))
	if len(fingerprints) == 0 {
		return
	}
	go func() {
		key := view.Key{Node: s.cfg.Settings.Name, ID: id}
		report := store.ReportCrash{Key: key, Epoch: s.epoch.Load(), Life: life, Fingerprints: fingerprints}
		_, err := s.submit(context.Background(), place.FleetGroup, report)
		s.log.Info("crash reported", slog.String("instance", id), slog.Any("error", err))
	}()
}

// recordCrash returns a number that tells the crash at an instance that ended a request
// apart from others, and the fingerprints of the requests in flight, without those that
// have succeeded recently. It returns 0 for a crash that is recorded already: the request
// began before it.
func (s *Server) recordCrash(id string, ended *work) (uint64, []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || b.crashedAt > 0 && ended.startedAt <= b.crashedAt {
		return 0, nil
	}
	b.crashedAt = s.now()
	var fingerprints []uint64
	for _, w := range b.inFlight {
		if w.fingerprint != 0 {
			fingerprints = append(fingerprints, w.fingerprint)
		}
	}
	return uint64(b.crashedAt), s.recentSuccesses.Suspects(fingerprints, s.now())
}
