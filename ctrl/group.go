package ctrl

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

const _maintainInterval = 2 * time.Second

// group is this host's replica of one replication group.
type group struct {
	server  *Server
	id      uint32
	replica *Replica
	voters  []place.Host
}

func newGroup(s *Server, id uint32) (*group, error) {
	g := &group{server: s, id: id, voters: place.Voters(id, s.hosts)}
	cfg := s.cfg.Raft
	cfg.ID = s.disk.ID()
	if s.finds() {
		cfg.TargetVoters = s.quorumSize()
	}
	stored := s.cfg.Store
	stored.RejectClaims = id == place.FleetGroup
	rc := ReplicaConfig{
		Group:  id,
		Name:   s.cfg.Settings.Name,
		Disk:   s.disk,
		Send:   func(to raft.Peer, envelope raft.Envelope) { s.outbox.send(s.addrOf(to), envelope) },
		Logger: s.log,
		Start:  s.start,
		Store:  stored,
		Raft:   cfg,
	}
	if id == place.FleetGroup {
		rc.Lead = s.signalLead
	}
	var err error
	g.replica, err = NewReplica(rc)
	return g, err
}

func (g *group) leading() bool {
	return g.replica.Status().Leader == g.server.disk.ID()
}

// leaderAddr returns where the group's leader is reached, or nothing.
func (g *group) leaderAddr() string {
	status := g.replica.Status()
	for _, p := range status.Peers {
		if p.ID == status.Leader {
			return g.server.addrOf(p)
		}
	}
	return ""
}

// belongs reports whether this host is one of the group's replicas.
func (g *group) belongs() bool {
	id := g.server.disk.ID()
	return slices.ContainsFunc(g.replica.Status().Peers, func(p raft.Peer) bool { return p.ID == id })
}

// votes reports whether this host's settings place a voter of the group here.
func (g *group) votes() bool {
	if g.server.finds() {
		return true
	}
	name := g.server.cfg.Settings.Name
	return slices.ContainsFunc(g.voters, func(h place.Host) bool { return h.Name == name })
}

func (g *group) self() raft.Peer {
	settings := g.server.cfg.Settings
	return raft.Peer{
		ID:       g.server.disk.ID(),
		Name:     settings.Name,
		Addr:     cmp.Or(settings.AddrOf(settings.Name), settings.Peer),
		Observer: !g.votes(),
	}
}

// ready reports whether so many of the group's hosts vote that losing one
// loses nothing that was accepted.
func (g *group) ready() bool {
	voters := 0
	for _, p := range g.replica.Status().Peers {
		if !p.Learner {
			voters++
		}
	}
	if g.server.finds() {
		return voters >= g.server.quorumSize()
	}
	return voters > len(g.voters)/2
}

// join lets a host into the group, by way of its leader.
func (g *group) join(ctx context.Context, msg proto.Join) error {
	if g.leading() {
		return g.replica.Tell(ctx, raft.AddPeerMsg{Peer: msg.Peer})
	}
	addr := g.leaderAddr()
	if addr == "" {
		return ErrUnavailable
	}
	_, err := g.server.call(ctx, addr, msg)
	return err
}

// submit runs a command for another process; only the leader takes it.
func (g *group) submit(ctx context.Context, c store.Command) proto.SubmitReply {
	if !g.leading() {
		return proto.SubmitReply{Leader: g.leaderAddr(), Error: ErrNoLeader.Error(), NoEffect: true}
	}
	if g.id != place.FleetGroup && !g.ready() {
		return proto.SubmitReply{Error: "too few hosts have joined the group", NoEffect: true}
	}
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	result, err := g.replica.Submit(ctx, c)
	if err != nil {
		return proto.SubmitReply{Error: err.Error(), NoEffect: withoutEffect(err)}
	}
	return proto.SubmitReply{Result: result}
}

// maintain keeps a group of claims in order while this host leads it: it moves the
// group's log time on, and lets hosts go that hold it no longer.
func (g *group) maintain(ctx context.Context) error {
	ticker := time.NewTicker(_maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if g.leading() {
				g.maintainOnce(ctx)
			}
		}
	}
}

func (g *group) maintainOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	// Without it the next turn does the same.
	_, _ = g.replica.Submit(ctx, store.AdvanceClock{})
	surplus, ok := surplusPeer(g.replica.Status().Peers, g.voters)
	if !ok {
		return
	}
	g.server.log.Info("leave group",
		slog.Uint64("group", uint64(g.id)), slog.String("leaves", surplus.Name))
	if surplus.ID == g.server.disk.ID() {
		_ = g.replica.Tell(ctx, raft.TransferMsg{})
		return
	}
	_ = g.replica.Tell(ctx, raft.RemovePeerMsg{ID: surplus.ID})
}

// surplusPeer returns a replica that the placement does not name, once every
// host that it names votes.
func surplusPeer(peers []raft.Peer, voters []place.Host) (raft.Peer, bool) {
	for _, h := range voters {
		votes := func(p raft.Peer) bool { return p.Name == h.Name && !p.Learner }
		if !slices.ContainsFunc(peers, votes) {
			return raft.Peer{}, false
		}
	}
	for _, p := range peers {
		placed := func(h place.Host) bool { return h.Name == p.Name }
		if !slices.ContainsFunc(voters, placed) {
			return p, true
		}
	}
	return raft.Peer{}, false
}

// handOver gives leadership to another host before a planned stop.
func (g *group) handOver(ctx context.Context) {
	for ctx.Err() == nil && g.leading() && len(g.replica.Status().Peers) > 1 {
		_ = g.replica.Tell(ctx, raft.TransferMsg{})
		time.Sleep(_tick)
	}
}
