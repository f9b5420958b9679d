package ctrl

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/health"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// membership tracks the members' heartbeats at the leader. It is reset when
// leadership changes.
type membership struct {
	server *Server
	start  time.Time

	mu      sync.Mutex
	health  health.Model
	applied map[string]appliedRevision
}

type appliedRevision struct {
	rev uint64
	at  time.Time
}

func newMembership(s *Server) *membership {
	return &membership{server: s, start: time.Now(), health: health.New(health.Config{}), applied: map[string]appliedRevision{}}
}

// reset discards all state. If this host leads, every member gets a full lease.
func (ms *membership) reset(leading bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.health = health.New(health.Config{})
	ms.applied = map[string]appliedRevision{}
	if !leading {
		return
	}
	ms.server.replica.Read(func(m store.Model) {
		for _, member := range m.View().Members() {
			ms.health, _ = ms.health.Update(ms.heartbeatOf(member))
		}
	})
}

func (ms *membership) heartbeatOf(m view.Member) health.HeartbeatMsg {
	return health.HeartbeatMsg{Node: m.Node, Center: m.Center, Epoch: m.Epoch, At: time.Since(ms.start)}
}

// heartbeat processes a member's heartbeat.
func (s *Server) heartbeat(ctx context.Context, h proto.Heartbeat) proto.HeartbeatReply {
	if !s.isLeader() {
		return proto.HeartbeatReply{Leader: s.leaderAddr()}
	}
	known := false
	var member view.Member
	s.replica.Read(func(m store.Model) {
		member, known = m.View().Member(h.Node)
		known = known && member.Epoch == h.Epoch && h.Digest == view.Digest(m.View().InstancesOf(h.Node))
	})
	if member.Epoch == h.Epoch {
		s.flowBoard.record(member.Center, h)
		s.membership.recordHeartbeat(ctx, member, h.Rev)
	}
	return proto.HeartbeatReply{Known: known, FromLeader: true, Leader: s.cfg.Settings.Peer}
}

func (ms *membership) recordHeartbeat(ctx context.Context, m view.Member, rev uint64) {
	ms.mu.Lock()
	ms.applied[m.Node] = appliedRevision{rev: rev, at: time.Now()}
	var cmds []health.Cmd
	ms.health, cmds = ms.health.Update(ms.heartbeatOf(m))
	ms.mu.Unlock()
	ms.run(ctx, cmds)
	if m.Reachability != view.Reachable {
		ms.run(ctx, []health.Cmd{health.ReachableCmd{Node: m.Node, Epoch: m.Epoch}})
	}
}

// check runs the failure detector for members that send no heartbeats.
func (ms *membership) check(ctx context.Context) {
	ms.mu.Lock()
	var cmds []health.Cmd
	ms.health, cmds = ms.health.Update(health.TickMsg{At: time.Since(ms.start)})
	ms.mu.Unlock()
	ms.run(ctx, cmds)
}

func (ms *membership) run(ctx context.Context, cmds []health.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case health.ProbeCmd:
			go ms.probe(ctx, cmd)
		case health.UnreachableCmd:
			ms.submit(ctx, "member unreachable", store.SetReachability{Node: cmd.Node, Epoch: cmd.Epoch, Reachability: view.Unreachable})
		case health.ReachableCmd:
			ms.submit(ctx, "member reachable", store.SetReachability{Node: cmd.Node, Epoch: cmd.Epoch, Reachability: view.Reachable})
		case health.RemoveCmd:
			ms.submit(ctx, "member removed", store.RemoveMember{Node: cmd.Node, Epoch: cmd.Epoch})
			ms.remove(cmd.Node)
		}
	}
}

func (ms *membership) submit(ctx context.Context, event string, c store.Command) {
	_, err := ms.server.replica.Submit(ctx, c)
	ms.server.log.Info(event, slog.Any("command", c), slog.Any("error", err))
}

func (ms *membership) remove(node string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.health, _ = ms.health.Update(health.RemovedMsg{Node: node})
	delete(ms.applied, node)
}

// probe asks one member to probe another.
func (ms *membership) probe(ctx context.Context, cmd health.ProbeCmd) {
	var suspect, prober view.Member
	ms.server.replica.Read(func(m store.Model) {
		suspect, _ = m.View().Member(cmd.Node)
		prober, _ = m.View().Member(cmd.Prober)
	})
	reply, err := ms.server.call(ctx, prober.Addr, proto.Probe{Addr: suspect.Addr})
	if err != nil {
		return
	}
	probed, _ := reply.(proto.ProbeReply)
	ms.mu.Lock()
	var cmds []health.Cmd
	ms.health, cmds = ms.health.Update(health.ProbeResultMsg{
		Node: cmd.Node, Epoch: cmd.Epoch, Prober: cmd.Prober, Reached: probed.Reached, At: time.Since(ms.start),
	})
	ms.mu.Unlock()
	ms.run(ctx, cmds)
}

// appliedRevisions returns the revision that each member has applied, sorted by node.
func (ms *membership) appliedRevisions() []proto.AppliedRevision {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	list := make([]proto.AppliedRevision, 0, len(ms.applied))
	for _, node := range slices.Sorted(maps.Keys(ms.applied)) {
		r := ms.applied[node]
		list = append(list, proto.AppliedRevision{Node: node, Rev: r.rev, Age: time.Since(r.at)})
	}
	return list
}
