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
	_reasonBanned      = "crashes backend servers"
	_reasonCrash       = "backend server crashed"
	_maxCrashes        = 2
	_localBanTime      = 10 * time.Second
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
// to the control hosts.
func (s *Server) reportCrash(id string) {
	fingerprints := s.suspectFingerprints(id)
	s.log.Warn("backend server crashed", slog.String("instance", id), slog.Any("prints", fingerprints))
	if len(fingerprints) == 0 {
		return
	}
	go func() {
		key := view.Key{Node: s.cfg.Settings.Name, ID: id}
		_, err := s.submit(context.Background(), place.FleetGroup, store.ReportCrash{Key: key, Epoch: s.epoch.Load(), Fingerprints: fingerprints})
		s.log.Info("crash reported", slog.String("instance", id), slog.Any("error", err))
	}()
}

// suspectFingerprints returns the fingerprints of the requests in flight at an
// instance, without those that have succeeded recently.
func (s *Server) suspectFingerprints(id string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil {
		return nil
	}
	var fingerprints []uint64
	for _, w := range b.inFlight {
		if w.fingerprint != 0 {
			fingerprints = append(fingerprints, w.fingerprint)
		}
	}
	return s.recentSuccesses.Suspects(fingerprints, s.now())
}
