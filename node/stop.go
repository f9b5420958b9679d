package node

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/drain"
)

// _defaultStopTimeout is how long a planned stop may take unless the settings specify
// another time.
const _defaultStopTimeout = 90 * time.Second

// stopCounts counts the attempts that reach a stopping owner.
type stopCounts struct {
	started atomic.Int64
	refused atomic.Int64
}

// logValues returns the counts as attributes of a log line.
func (c *stopCounts) logValues() slog.Attr {
	return slog.Group("attempts", slog.Int64("started", c.started.Load()), slog.Int64("refused", c.refused.Load()))
}

const (
	// _firstRequestTime is how long the first request on a connection may take to come.
	_firstRequestTime = 500 * time.Millisecond
	_connPollInterval = 10 * time.Millisecond
	// _peerMargin is the last part of a stop, in which a node closes its peer listener even
	// if attempts run.
	_peerMargin = 400 * time.Millisecond
)

// connStates holds the state of each open connection of a server.
type connStates struct {
	mu     sync.Mutex
	states map[net.Conn]connState
	// closing says that the server takes no more requests, and done is closed once it has
	// no connections left.
	closing bool
	done    chan struct{}
}

// connState is a state of a connection and when it began.
type connState struct {
	http.ConnState
	since time.Time
}

// newConnStates returns the states of a server without connections.
func newConnStates() *connStates {
	return &connStates{states: map[net.Conn]connState{}, done: make(chan struct{})}
}

// track records the state of a connection; it has the signature of http.Server.ConnState.
func (c *connStates) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)
		c.checkDoneLocked()
		return
	}
	c.states[conn] = connState{ConnState: state, since: time.Now()}
	if c.closing && state == http.StateNew {
		_ = conn.Close()
	}
}

// awaitFirstRequests waits until the first requests have come on the connections that are
// open, except on those that have been without one for long, but not longer than the limit.
func (c *connStates) awaitFirstRequests(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end) && c.expectsFirstRequest(); {
		time.Sleep(_connPollInterval)
	}
}

func (c *connStates) expectsFirstRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state.ConnState == http.StateNew && time.Since(state.since) < _firstRequestTime {
			return true
		}
	}
	return false
}

// closeUnused closes the connections on which no request has come, now and from now on.
// net/http waits some seconds for them, though it drops what comes on them once it is
// shutting down.
func (c *connStates) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for conn, state := range c.states {
		if state.ConnState == http.StateNew {
			_ = conn.Close()
		}
	}
	c.checkDoneLocked()
}

func (c *connStates) checkDoneLocked() {
	if !c.closing || len(c.states) > 0 {
		return
	}
	select {
	case <-c.done:
	default:
		close(c.done)
	}
}

// logValues returns the number of connections by state as attributes of a log line.
func (c *connStates) logValues() slog.Attr {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unused, active, idle int
	for _, state := range c.states {
		switch state.ConnState {
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

// stopTimeout returns how long a planned stop may take.
func (s *Server) stopTimeout() time.Duration {
	return cmp.Or(s.cfg.Settings.Stop.Std(), _defaultStopTimeout)
}

// isStopping reports whether the node has been told to stop.
func (s *Server) isStopping() bool {
	return s.stop.Load().Stopping()
}

// markStopping waits for the context to end and then marks the node as stopping.
func (s *Server) markStopping(ctx context.Context) error {
	<-ctx.Done()
	s.beginStop()
	return nil
}

// beginStop marks the node as stopping, unless it is, and returns the state of its stop.
func (s *Server) beginStop() drain.Model {
	s.stopOnce.Do(func() {
		stop := s.stop.Load().Update(drain.StopMsg{At: s.now()})
		s.stop.Store(&stop)
		s.log.Info("node stopping")
	})
	return *s.stop.Load()
}

// lastStart returns when the last attempt may start at an instance on this host.
func (s *Server) lastStart(id string) time.Duration {
	stop := s.stop.Load()
	if !stop.Stopping() {
		return drain.Never
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var durations drain.Durations
	if b := s.backends[id]; b != nil {
		durations = b.durations
	}
	return stop.LastStart(durations.Long())
}

// closeWhenStopping asks callers to close their connections with each response once
// the node is stopping.
func (s *Server) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// drainServer stops accepting connections after a delay, and then waits for the open ones
// until the stop must end.
func (s *Server) drainServer(server *http.Server, conns *connStates, l *net.TCPListener, addr string) error {
	if err := steerToNewest(l); err != nil {
		s.log.Warn("cannot steer new connections to the successor", slog.String("addr", addr), slog.Any("error", err))
	}
	stop := s.beginStop()
	// Active callers leave with their next response. Closing their connections
	// immediately would break requests in transit.
	time.Sleep(stop.CloseAt() - _handshakeTime - s.now())
	if addr == s.cfg.Settings.Peer && s.cfg.Settings.Stop > 0 {
		// Other nodes ask about attempts that run here, and take silence for a lost node.
		s.awaitAttempts(stop.End() - _peerMargin)
	}
	s.settleHandshakes(l, addr)
	// A server that shuts down drops the first request on a connection.
	conns.awaitFirstRequests((stop.End() - s.now()) / 2)
	if addr == s.cfg.Settings.Caller {
		timeout := float64(s.stopTimeout())
		giveWay := time.AfterFunc(stop.End()-s.now()-time.Duration(_giveWayShare*timeout), s.pipelines.giveWay)
		defer giveWay.Stop()
		s.pipelines.awaitAnswered(stop.End() - s.now() - time.Duration(_pipelinedAnsweredShare*timeout))
	}
	s.log.Info("listener closes", slog.String("addr", addr), slog.Duration("after", stop.Since(s.now())), conns.logValues(), s.stopCounts.logValues())
	err := shutdown(server, conns, stop.End()-s.now())
	s.log.Info("listener drained", slog.String("addr", addr), slog.Duration("after", stop.Since(s.now())), conns.logValues(), s.stopCounts.logValues())
	if err != nil {
		return errors.Errorf("drain %s: %w", addr, err)
	}
	return nil
}

// awaitAttempts waits until no attempt runs or waits at an instance on this host, at most
// until the limit.
func (s *Server) awaitAttempts(limit time.Duration) {
	for s.now() < limit && s.hasAttempts() {
		time.Sleep(_connPollInterval)
	}
}

func (s *Server) hasAttempts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		return true
	}
	for _, b := range s.backends {
		if len(b.inFlight) > 0 {
			return true
		}
	}
	return false
}

// shutdown closes a server's listener and unused connections, and waits for the others
// until the timeout.
func shutdown(server *http.Server, conns *connStates, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// Callbacks run once the server takes no more requests.
	server.RegisterOnShutdown(conns.closeUnused)
	failed := make(chan error, 1)
	go func() { failed <- server.Shutdown(ctx) }()
	select {
	case err := <-failed:
		return err
	case <-conns.done:
		return nil
	}
}
