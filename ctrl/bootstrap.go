package ctrl

import (
	"cmp"
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
	_bootstrapInterval = 300 * time.Millisecond
	_rpcTimeout        = 2 * time.Second
)

// bootstrap makes an empty replica a member of its group. It joins if another host
// is a member already. The designated host creates the group, but only once every
// voter has replied and none is a member.
func (g *group) bootstrap(ctx context.Context) error {
	if g.server.usesDiscovery() {
		return g.discover(ctx)
	}
	return g.joinAgain(ctx, func() error {
		if !g.mayBootstrap(ctx) || g.isMember() || !g.reserveBootstrap(ctx) {
			return nil
		}
		g.server.log.Info("bootstrap group", slog.Uint64("group", uint64(g.id)))
		return g.replica.Step(ctx, raft.BootstrapMsg{Peer: g.self()})
	})
}

// joinAgain calls join as long as this host is no member, and when it has known no leader
// for a while: its entry may have been lost with the leader that added it, or it may have been
// removed.
func (g *group) joinAgain(ctx context.Context, join func() error) error {
	ticker := time.NewTicker(_bootstrapInterval)
	defer ticker.Stop()
	leaderSeen := time.Now()
	for {
		switch member := g.isMember(); {
		case member && g.replica.Status().Leader != 0:
			leaderSeen = time.Now()
		case !member || time.Since(leaderSeen) > _rejoinAfter && g.belongs():
			if err := join(); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// belongs reports whether this host is to hold the group. A claim group is removed from hosts
// that the placement no longer contains.
func (g *group) belongs() bool {
	return g.id == place.FleetGroup || g.shouldVote()
}

// reserveBootstrap asks the fleet group for the right to bootstrap a claim group.
// It is granted to one host only, so that a group is not created a second time if
// all of its voters are replaced at once.
func (g *group) reserveBootstrap(ctx context.Context) bool {
	if g.id == place.FleetGroup {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, _rpcTimeout)
	defer cancel()
	result, err := g.server.submit(ctx, store.BootstrapGroup{Group: g.id, Host: g.server.disk.ID()})
	_, granted := result.(store.Written)
	return err == nil && granted
}

// mayBootstrap reports whether this host is the one to create the group, every
// other voter has replied and no host is a member. It sends a join request to each
// member that it finds, including hosts that are no longer in the placement.
func (g *group) mayBootstrap(ctx context.Context) bool {
	settings := g.server.cfg.Settings
	allowed := place.BootstrapHost(g.id, g.server.hosts) == settings.Name
	for _, h := range settings.Hosts {
		if h.Name == settings.Name {
			continue
		}
		votes := slices.ContainsFunc(g.voters, func(v place.Host) bool { return v.Name == h.Name })
		addr := settings.AddrOf(h.Name)
		hello, err := g.hello(ctx, addr)
		if err != nil {
			allowed = allowed && !votes
			continue
		}
		if hello.Member {
			allowed = false
			_, _ = g.server.call(ctx, addr, proto.Join{Group: g.id, Peer: g.self()})
		}
	}
	return allowed
}

func (g *group) hello(ctx context.Context, addr string) (proto.HelloReply, error) {
	reply, err := g.server.call(ctx, addr, proto.Hello{Group: g.id})
	if err != nil {
		return proto.HelloReply{}, err
	}
	hello, ok := reply.(proto.HelloReply)
	if !ok {
		return hello, errors.Newf("hello reply from %s has type %T", addr, reply)
	}
	return hello, nil
}

// addrOf returns the address in this host's settings, or else the one that the
// peer advertises.
func (s *Server) addrOf(p raft.Peer) string {
	if addr := s.cfg.Settings.AddrOf(p.Name); addr != "" {
		return addr
	}
	return p.Addr
}

// peerAddr returns the address at which other hosts reach this one.
func (s *Server) peerAddr() string {
	settings := s.cfg.Settings
	return cmp.Or(settings.AddrOf(settings.Name), settings.Peer)
}

func (s *Server) call(ctx context.Context, addr string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, _rpcTimeout)
	defer cancel()
	return s.client.Call(ctx, addr, msg)
}

// isBootstrapped reports whether the cluster ID and the number of claim groups are
// set. Requests with idempotency keys cannot be served before.
func (s *Server) isBootstrapped() bool {
	bootstrapped := false
	s.replica.Read(func(m store.Model) { bootstrapped = m.View().Cluster != 0 })
	return bootstrapped
}

// bootstrapFleet sets the cluster ID and the number of claim groups of a new fleet.
func (s *Server) bootstrapFleet(ctx context.Context) {
	if s.isBootstrapped() {
		return
	}
	_, _ = s.replica.Submit(ctx, store.Bootstrap{Cluster: s.disk.ID(), Groups: s.cfg.Settings.ClaimGroups()})
}
