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
	// _greetTimeout bounds one question to a host that may be down; a round
	// trip takes a few milliseconds.
	_greetTimeout = 500 * time.Millisecond
	// _unledAfter is how long a host hears no leader before it asks to be let
	// in again: it may have been let go. An election is shorter.
	_unledAfter = 1500 * time.Millisecond
)

// finds reports whether the control hosts find each other instead of being
// listed in the settings.
func (s *Server) finds() bool {
	return len(s.cfg.Settings.Hosts) == 0
}

// quorumSize returns how many hosts vote at least, so that a majority outlives
// the losses that the settings allow.
func (s *Server) quorumSize() int {
	return 2*s.cfg.Settings.Losses + 1
}

// find founds the group or joins it by way of the hosts that the settings and
// the other hosts name, and joins again after it was let go.
func (g *group) find(ctx context.Context) error {
	ticker := time.NewTicker(_bootInterval)
	defer ticker.Stop()
	led := time.Now()
	for {
		switch belongs := g.belongs(); {
		case !belongs && g.server.cfg.Settings.Bootstraps():
			g.server.log.Info("found group", slog.Uint64("group", uint64(g.id)))
			if err := g.replica.Tell(ctx, raft.BootstrapMsg{Peer: g.self()}); err != nil {
				return err
			}
		case belongs && g.replica.Status().Leader != 0:
			led = time.Now()
		case !belongs || time.Since(led) > _unledAfter:
			g.askToJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// askToJoin asks every host that is known, and those that they name.
func (g *group) askToJoin(ctx context.Context) {
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
		next = g.askAll(ctx, round)
	}
}

// askAll asks hosts to let this one in and returns the addresses they name.
func (g *group) askAll(ctx context.Context, addrs []string) []string {
	var mu sync.Mutex
	var named []string
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, _greetTimeout)
			defer cancel()
			greeting, err := g.greet(callCtx, addr)
			if err != nil || !greeting.Member {
				return
			}
			mu.Lock()
			named = append(named, greeting.Addrs...)
			mu.Unlock()
			_, err = g.server.call(callCtx, addr, proto.Join{Group: g.id, Peer: g.self()})
			g.server.log.Info("ask to join", slog.String("addr", addr), slog.Any("error", err))
		})
	}
	wg.Wait()
	return named
}

// addrs returns where the group's hosts are.
func (g *group) addrs() []string {
	peers := g.replica.Status().Peers
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, g.server.addrOf(p))
	}
	return list
}
