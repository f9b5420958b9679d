package ctrl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_bootInterval = 300 * time.Millisecond
	_callTimeout  = 2 * time.Second
)

// boot brings a blank host into the fleet: it joins where any host belongs to
// one, and founds one only when every host answers and none does.
func (s *Server) boot(ctx context.Context) error {
	ticker := time.NewTicker(_bootInterval)
	defer ticker.Stop()
	for !s.belongs() {
		if s.mayFound(ctx) {
			s.log.Info("found fleet")
			return s.replica.Tell(ctx, raft.FoundMsg{Peer: s.self()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) belongs() bool {
	for _, p := range s.replica.Status().Peers {
		if p.ID == s.disk.ID() {
			return true
		}
	}
	return false
}

// mayFound asks every other host; on the way it asks members to be let in.
func (s *Server) mayFound(ctx context.Context) bool {
	blank := true
	lowest := true
	for _, h := range s.cfg.Settings.Hosts {
		if h.Name == s.cfg.Settings.Name {
			continue
		}
		lowest = lowest && s.cfg.Settings.Name < h.Name
		greeting, err := s.greet(ctx, h.Addr)
		if err != nil {
			blank = false
			continue
		}
		if greeting.Member {
			blank = false
			_, _ = s.call(ctx, h.Addr, proto.Join{Peer: s.self()})
		}
	}
	return blank && lowest
}

func (s *Server) greet(ctx context.Context, addr string) (proto.Greeting, error) {
	reply, err := s.call(ctx, addr, proto.Hello{})
	if err != nil {
		return proto.Greeting{}, err
	}
	greeting, ok := reply.(proto.Greeting)
	if !ok {
		return greeting, errors.Newf("greeting from %s is %T", addr, reply)
	}
	return greeting, nil
}

func (s *Server) self() raft.Peer {
	return raft.Peer{ID: s.disk.ID(), Name: s.cfg.Settings.Name, Addr: s.cfg.Settings.AddrOf(s.cfg.Settings.Name)}
}

// addrOf prefers this host's own settings to what the peer says of itself.
func (s *Server) addrOf(p raft.Peer) string {
	if addr := s.cfg.Settings.AddrOf(p.Name); addr != "" {
		return addr
	}
	return p.Addr
}

func (s *Server) call(ctx context.Context, addr string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	return s.client.Call(ctx, addr, msg)
}

// identify gives a new fleet its number, once.
func (s *Server) identify(ctx context.Context) {
	named := false
	s.replica.Read(func(m store.Model) { named = m.View().Cluster != 0 })
	if named {
		return
	}
	_, _ = s.replica.Submit(ctx, store.Found{Cluster: s.disk.ID()})
}
