package ctrl

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_bootInterval = 300 * time.Millisecond
	_callTimeout  = 2 * time.Second
)

// boot brings a blank host into a group: it joins where any host belongs to
// the group, and founds it only when every voter answers and none belongs.
func (g *group) boot(ctx context.Context) error {
	if g.server.finds() {
		return g.find(ctx)
	}
	ticker := time.NewTicker(_bootInterval)
	defer ticker.Stop()
	for !g.belongs() {
		if g.mayFound(ctx) && g.grantedFounding(ctx) {
			g.server.log.Info("found group", slog.Uint64("group", uint64(g.id)))
			return g.replica.Tell(ctx, raft.BootstrapMsg{Peer: g.self()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	return nil
}

// grantedFounding asks the fleet's own group whether this host may found a
// group of keys. The grant is given once, so that hosts which replace all of a
// group's voters at the same time never found it a second time.
func (g *group) grantedFounding(ctx context.Context) bool {
	if g.id == place.FleetGroup {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	result, err := g.server.submit(ctx, store.BootstrapGroup{Group: g.id, Host: g.server.disk.ID()})
	_, granted := result.(store.Written)
	return err == nil && granted
}

// mayFound asks the other hosts; on the way it asks members to be let in, who
// may be hosts that the placement no longer names.
func (g *group) mayFound(ctx context.Context) bool {
	settings := g.server.cfg.Settings
	may := place.BootstrapHost(g.id, g.server.hosts) == settings.Name
	for _, h := range settings.Hosts {
		if h.Name == settings.Name {
			continue
		}
		votes := slices.ContainsFunc(g.voters, func(v place.Host) bool { return v.Name == h.Name })
		addr := settings.AddrOf(h.Name)
		greeting, err := g.greet(ctx, addr)
		if err != nil {
			may = may && !votes
			continue
		}
		if greeting.Member {
			may = false
			_, _ = g.server.call(ctx, addr, proto.Join{Group: g.id, Peer: g.self()})
		}
	}
	return may
}

func (g *group) greet(ctx context.Context, addr string) (proto.HelloReply, error) {
	reply, err := g.server.call(ctx, addr, proto.Hello{Group: g.id})
	if err != nil {
		return proto.HelloReply{}, err
	}
	greeting, ok := reply.(proto.HelloReply)
	if !ok {
		return greeting, errors.Newf("greeting from %s is %T", addr, reply)
	}
	return greeting, nil
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

// named reports whether the fleet has its number, and with it the number of
// claim groups, which no keyed request can do without.
func (s *Server) named() bool {
	named := false
	s.replica.Read(func(m store.Model) { named = m.View().Cluster != 0 })
	return named
}

// identify gives a new fleet its number, once.
func (s *Server) identify(ctx context.Context) {
	if s.named() {
		return
	}
	_, _ = s.replica.Submit(ctx, store.Bootstrap{Cluster: s.disk.ID(), Groups: s.cfg.Settings.ClaimGroups()})
}
