package ctrl

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
)

const (
	// _helloTimeout limits the exchange with one host, which may be down. A round
	// trip takes a few milliseconds.
	_helloTimeout = 500 * time.Millisecond
	// _rejoinAfter is how long a member goes without a leader before it asks to
	// join again, as it may have been removed. It exceeds the duration of an
	// election.
	_rejoinAfter = 1500 * time.Millisecond
)

// usesDiscovery reports whether the control hosts discover each other instead of
// being listed in the settings.
func (s *Server) usesDiscovery() bool {
	return len(s.cfg.Settings.Hosts) == 0
}

// minVoters returns the number of voters required for a majority to survive the
// losses that the settings allow.
func (s *Server) minVoters() int {
	return 2*s.cfg.Settings.Losses + 1
}

// discover bootstraps the group or joins it through the hosts listed in the settings
// and the hosts that those report. It joins again after a removal.
func (g *group) discover(ctx context.Context) error {
	return g.joinAgain(ctx, func() error {
		if g.server.cfg.Settings.Bootstraps() && !g.isMember() {
			g.server.log.Info("bootstrap group", slog.Uint64("group", uint64(g.id)))
			return g.replica.Step(ctx, raft.BootstrapMsg{Peer: g.self()})
		}
		g.requestJoin(ctx)
		return nil
	})
}

// requestJoin sends join requests to all known hosts, and then to the hosts that
// those report.
func (g *group) requestJoin(ctx context.Context) {
	asked := map[string]bool{g.server.cfg.Settings.Peer: true}
	next := slices.Concat(g.server.cfg.Settings.JoinAddrs(), g.addrs())
	for len(next) > 0 {
		var round []string
		for _, addr := range next {
			if !asked[addr] {
				asked[addr] = true
				round = append(round, addr)
			}
		}
		next = g.requestJoinFrom(ctx, round)
	}
}

// requestJoinFrom sends join requests to the members among the hosts and returns the
// addresses that they report.
func (g *group) requestJoinFrom(ctx context.Context, addrs []string) []string {
	var mu sync.Mutex
	var reported []string
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, _helloTimeout)
			defer cancel()
			hello, err := g.hello(callCtx, addr)
			if err != nil || !hello.Member {
				return
			}
			mu.Lock()
			reported = append(reported, hello.Addrs...)
			mu.Unlock()
			_, err = g.server.call(callCtx, addr, proto.Join{Group: g.id, Peer: g.self()})
			g.server.log.Info("requested to join group", slog.String("addr", addr), slog.Uint64("id", g.server.disk.ID()),
				slog.String("member", memberRole(g.replica.Status().Peers, g.server.disk.ID())), slog.Any("error", err))
		})
	}
	wg.Wait()
	return reported
}

// addrs returns the peer addresses of the group's members.
func (g *group) addrs() []string {
	peers := g.replica.Status().Peers
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, g.server.addrOf(p))
	}
	return list
}
