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
	_crashProbe  = 100 * time.Millisecond
	_reasonBan   = "crashes backend servers"
	_reasonCrash = "backend server crashed"
	_mostCrashes = 2
	_banHold     = 10 * time.Second
)

// errCrashed says that the backend server went away with its requests.
var errCrashed = errors.New(_reasonCrash)

// crashed reports whether a backend server that dropped a connection takes no
// new one either.
func (s *Server) crashed(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, _crashProbe)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = c.Close()
	return false
}

// reportCrash tells the control hosts which requests were in flight.
func (s *Server) reportCrash(id string) {
	prints := s.printsOf(id)
	s.log.Warn("backend server crashed", slog.String("instance", id), slog.Any("prints", prints))
	if len(prints) == 0 {
		return
	}
	go func() {
		key := view.Key{Node: s.cfg.Settings.Name, ID: id}
		_, err := s.submit(context.Background(), place.FleetGroup, store.ReportCrash{Key: key, Epoch: s.epoch.Load(), Prints: prints})
		s.log.Info("crash reported", slog.String("instance", id), slog.Any("error", err))
	}()
}

// printsOf returns the fingerprints in flight that did not lately end well.
func (s *Server) printsOf(id string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backs[id]
	if b == nil {
		return nil
	}
	var prints []uint64
	for _, w := range b.running {
		if w.print != 0 {
			prints = append(prints, w.print)
		}
	}
	return s.aboard.Suspects(prints, s.now())
}
