package ctrl

import (
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
	if s.usesDiscovery() {
		cfg.TargetVoters = s.minVoters()
	}
	stored := s.cfg.Store
	stored.RejectClaims = id == place.FleetGroup
	rc := ReplicaConfig{
		Group:  id,
		Name:   s.cfg.Settings.Name,
		Addr:   s.peerAddr(),
		Disk:   s.disk,
		Send:   g.send,
		Logger: s.log,

		OnSkippedEntry: func() { s.stats.skipped.Inc(1) },
		Start:          s.start,
		Store:          stored,
		Raft:           cfg,
	}
	if id == place.FleetGroup {
		rc.OnLeaderChange = s.signalLeaderChange
	}
	var err error
	g.replica, err = NewReplica(rc)
	return g, err
}

// send queues a message of the group's replica, which calls it from its loop.
func (g *group) send(to raft.Peer, envelope raft.Envelope) {
	addr := g.server.addrOf(to)
	if addr == "" {
		g.replica.logUnaddressed(to.ID)
		return
	}
	g.server.outbox.send(addr, envelope)
}

func (g *group) isLeader() bool {
	return g.replica.Status().Leader == g.server.disk.ID()
}

// leaderAddr returns the peer address of the group's leader, or "" if unknown.
func (g *group) leaderAddr() string {
	status := g.replica.Status()
	if status.Leader == 0 {
		return ""
	}
	return g.server.addrOf(status.LeaderPeer)
}

// isMember reports whether this host is in the group's peer list.
func (g *group) isMember() bool {
	id := g.server.disk.ID()
	return slices.ContainsFunc(g.replica.Status().Peers, func(p raft.Peer) bool { return p.ID == id })
}

// shouldVote reports whether this host is to be a voter of the group: by the
// placement, or always with discovery.
func (g *group) shouldVote() bool {
	if g.server.usesDiscovery() {
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
		Addr:     g.server.peerAddr(),
		Observer: !g.shouldVote(),
	}
}

// ready reports whether the group has enough voters: the minimum with discovery, or
// else a majority of the placement. With fewer, losing a host could lose committed
// writes.
func (g *group) ready() bool {
	voters := 0
	for _, p := range g.replica.Status().Peers {
		if !p.Learner {
			voters++
		}
	}
	if g.server.usesDiscovery() {
		return voters >= g.server.minVoters()
	}
	return voters > len(g.voters)/2
}

// join adds a host to the group, forwarding the request if another host leads.
func (g *group) join(ctx context.Context, msg proto.Join) error {
	if g.isLeader() {
		return g.replica.Step(ctx, raft.AddPeerMsg{Peer: msg.Peer})
	}
	addr := g.leaderAddr()
	if addr == "" {
		return ErrUnavailable
	}
	_, err := g.server.call(ctx, addr, msg)
	return err
}

// submit runs a command for another process. It has no effect unless this host leads
// the group and, for a claim group, enough hosts have joined.
func (g *group) submit(ctx context.Context, c store.Command) proto.SubmitReply {
	if !g.isLeader() {
		return proto.SubmitReply{Leader: g.leaderAddr(), Error: ErrNotLeader.Error(), NoEffect: true}
	}
	if g.id != place.FleetGroup && !g.ready() {
		return proto.SubmitReply{Error: "too few hosts have joined the group", NoEffect: true}
	}
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	result, err := g.replica.Submit(ctx, c)
	if err != nil {
		return proto.SubmitReply{Error: err.Error(), NoEffect: hadNoEffect(err)}
	}
	return proto.SubmitReply{Result: result}
}

// maintain advances the log time of a claim group and removes replicas that the
// placement no longer contains, while this host leads the group.
func (g *group) maintain(ctx context.Context) error {
	ticker := time.NewTicker(_maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if g.isLeader() {
				g.maintainOnce(ctx)
			}
		}
	}
}

func (g *group) maintainOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	// A failed submission is repeated at the next interval.
	_, _ = g.replica.Submit(ctx, store.AdvanceClock{})
	surplus, ok := surplusPeer(g.replica.Status().Peers, g.voters)
	if !ok {
		return
	}
	g.server.log.Info("remove surplus replica",
		slog.Uint64("group", uint64(g.id)), slog.String("leaves", surplus.Name))
	if surplus.ID == g.server.disk.ID() {
		_ = g.replica.Step(ctx, raft.TransferMsg{})
		return
	}
	_ = g.replica.Step(ctx, raft.RemovePeerMsg{ID: surplus.ID})
}

// surplusPeer returns a replica that is not in the placement, if every host of the
// placement is a voter.
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

// transferLeadership transfers leadership to another host before a planned stop.
func (g *group) transferLeadership(ctx context.Context) {
	for ctx.Err() == nil && g.isLeader() && len(g.replica.Status().Peers) > 1 {
		_ = g.replica.Step(ctx, raft.TransferMsg{})
		time.Sleep(_tick)
	}
}
