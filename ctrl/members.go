package ctrl

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/pulse"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// membership is the leader's knowledge of the members; it lives for one term.
type membership struct {
	server *Server
	start  time.Time

	mu    sync.Mutex
	pulse pulse.Model
	held  map[string]held
}

type held struct {
	rev uint64
	at  time.Time
}

func newMembership(s *Server) *membership {
	return &membership{server: s, start: time.Now(), pulse: pulse.New(pulse.Config{}), held: map[string]held{}}
}

// reset gives every member a full lease when a term begins.
func (l *membership) reset(leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pulse = pulse.New(pulse.Config{})
	l.held = map[string]held{}
	if !leading {
		return
	}
	l.server.replica.Read(func(m store.Model) {
		for _, member := range m.View().Members() {
			l.pulse, _ = l.pulse.Update(l.beatOf(member))
		}
	})
}

func (l *membership) beatOf(m view.Member) pulse.HeartbeatMsg {
	return pulse.HeartbeatMsg{Node: m.Node, Center: m.Center, Epoch: m.Epoch, At: time.Since(l.start)}
}

// beat takes a member's heartbeat.
func (s *Server) beat(ctx context.Context, b proto.Heartbeat) proto.HeartbeatReply {
	if !s.leading() {
		return proto.HeartbeatReply{Leader: s.leaderAddr()}
	}
	known := false
	var member view.Member
	s.replica.Read(func(m store.Model) {
		member, known = m.View().Member(b.Node)
		known = known && member.Epoch == b.Epoch && b.Digest == view.Digest(m.View().InstancesOf(b.Node))
	})
	if member.Epoch == b.Epoch {
		s.membership.hear(ctx, member, b.Rev)
	}
	return proto.HeartbeatReply{Known: known, FromLeader: true, Leader: s.cfg.Settings.Peer}
}

func (l *membership) hear(ctx context.Context, m view.Member, rev uint64) {
	l.mu.Lock()
	l.held[m.Node] = held{rev: rev, at: time.Now()}
	var cmds []pulse.Cmd
	l.pulse, cmds = l.pulse.Update(l.beatOf(m))
	l.mu.Unlock()
	l.run(ctx, cmds)
	if m.Reachability != view.Reachable {
		l.run(ctx, []pulse.Cmd{pulse.ReachableCmd{Node: m.Node, Epoch: m.Epoch}})
	}
}

// check looks for silent members.
func (l *membership) check(ctx context.Context) {
	l.mu.Lock()
	var cmds []pulse.Cmd
	l.pulse, cmds = l.pulse.Update(pulse.TickMsg{At: time.Since(l.start)})
	l.mu.Unlock()
	l.run(ctx, cmds)
}

func (l *membership) run(ctx context.Context, cmds []pulse.Cmd) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case pulse.ProbeCmd:
			go l.ask(ctx, cmd)
		case pulse.UnreachableCmd:
			l.submit(ctx, "member lost", store.SetReachability{Node: cmd.Node, Epoch: cmd.Epoch, Reachability: view.Unreachable})
		case pulse.ReachableCmd:
			l.submit(ctx, "member back", store.SetReachability{Node: cmd.Node, Epoch: cmd.Epoch, Reachability: view.Reachable})
		case pulse.RemoveCmd:
			l.submit(ctx, "member removed", store.RemoveMember{Node: cmd.Node, Epoch: cmd.Epoch})
			l.forget(cmd.Node)
		}
	}
}

func (l *membership) submit(ctx context.Context, what string, c store.Command) {
	_, err := l.server.replica.Submit(ctx, c)
	l.server.log.Info(what, slog.Any("command", c), slog.Any("error", err))
}

func (l *membership) forget(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pulse, _ = l.pulse.Update(pulse.RemovedMsg{Node: node})
	delete(l.held, node)
}

// ask lets one member probe another one.
func (l *membership) ask(ctx context.Context, cmd pulse.ProbeCmd) {
	var suspect, by view.Member
	l.server.replica.Read(func(m store.Model) {
		suspect, _ = m.View().Member(cmd.Node)
		by, _ = m.View().Member(cmd.Prober)
	})
	reply, err := l.server.call(ctx, by.Addr, proto.Probe{Addr: suspect.Addr})
	if err != nil {
		return
	}
	probed, _ := reply.(proto.ProbeReply)
	l.mu.Lock()
	var cmds []pulse.Cmd
	l.pulse, cmds = l.pulse.Update(pulse.ProbeResultMsg{
		Node: cmd.Node, Epoch: cmd.Epoch, Prober: cmd.Prober, Reached: probed.Reached, At: time.Since(l.start),
	})
	l.mu.Unlock()
	l.run(ctx, cmds)
}

// holding returns which revision each member has in force.
func (l *membership) holding() []proto.Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]proto.Held, 0, len(l.held))
	for _, node := range slices.Sorted(maps.Keys(l.held)) {
		h := l.held[node]
		list = append(list, proto.Held{Node: node, Rev: h.rev, Age: time.Since(h.at)})
	}
	return list
}
