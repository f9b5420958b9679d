package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// stopCounts counts the attempts that reach a stopping owner.
type stopCounts struct {
	started atomic.Int64
	refused atomic.Int64
}

// logValues returns the counts as attributes of a log line.
func (c *stopCounts) logValues() slog.Attr {
	return slog.Group("attempts", slog.Int64("started", c.started.Load()), slog.Int64("refused", c.refused.Load()))
}

// connStates holds the state of each open connection of a server.
type connStates struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// track records the state of a connection; it has the signature of http.Server.ConnState.
func (c *connStates) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	c.states[conn] = state
}

// logValues returns the number of connections by state as attributes of a log line.
func (c *connStates) logValues() slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unused, active, idle int
	for _, state := range c.states {
		switch state {
		case http.StateNew:
			unused++
		case http.StateActive:
			active++
		default:
			idle++
		}
	}
	return slog.Group("connections", slog.Int("unused", unused), slog.Int("active", active), slog.Int("idle", idle))
}

// sinceStop returns the time since the node was told to stop.
func (s *Server) sinceStop() time.Duration {
	return s.now() - time.Duration(s.stopRequestedAt.Load())
}

// drain stops accepting connections after a delay, and then waits for the open ones
// for up to the stop timeout.
func (s *Server) drain(server *http.Server, conns *connStates, l *net.TCPListener, addr string) error {
	if err := steerToNewest(l); err != nil {
		s.log.Warn("cannot steer new connections to the successor", slog.String("addr", addr), slog.Any("error", err))
	}
	// Active callers leave with their next response. Closing their connections
	// immediately would break requests in transit.
	time.Sleep(min(_closeDelay, s.stopTimeout()/2))
	s.settleHandshakes(l, addr)
	s.log.Info("listener closes", slog.String("addr", addr), slog.Duration("after", s.sinceStop()), conns.logValues(), s.stopCounts.logValues())
	ctx, cancel := context.WithTimeout(context.Background(), s.stopTimeout())
	defer cancel()
	err := server.Shutdown(ctx)
	s.log.Info("listener drained", slog.String("addr", addr), slog.Duration("after", s.sinceStop()), conns.logValues(), s.stopCounts.logValues())
	if err != nil {
		return errors.Errorf("drain %s: %w", addr, err)
	}
	return nil
}
