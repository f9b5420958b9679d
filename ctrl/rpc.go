package ctrl

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_maxWait  = 20 * time.Second
	_coalesce = 20 * time.Millisecond
)

// ErrUnavailable says that no leader with a quorum is known; nothing was done.
var ErrUnavailable = errors.New("no leader with a quorum")

func (s *Server) peerHandler() http.Handler {
	return wire.Serve(s.cfg.Settings.Key, proto.Codec, s.handle)
}

func (s *Server) handle(ctx context.Context, msg any) (any, error) {
	switch msg := msg.(type) {
	case proto.Replicate:
		return proto.Ack{}, s.receive(ctx, msg)
	case proto.Hello:
		g, held := s.groups[msg.Group]
		greeting := proto.HelloReply{ID: s.disk.ID(), Name: s.cfg.Settings.Name, Member: held && g.belongs()}
		if held {
			greeting.Addrs = g.addrs()
		}
		return greeting, nil
	case proto.Join:
		g, held := s.groups[msg.Group]
		if !held {
			return nil, ErrUnavailable
		}
		return proto.Ack{}, g.join(ctx, msg)
	case proto.Submit:
		return s.submitLocal(ctx, msg), nil
	case proto.Barrier:
		index, err := s.replica.Barrier(ctx)
		return proto.BarrierReply{Index: index}, err
	case proto.Pull:
		return s.pull(ctx, msg)
	case proto.Heartbeat:
		return s.beat(ctx, msg), nil
	case proto.ListRevisions:
		return proto.ListRevisionsReply{Nodes: s.membership.holding()}, nil
	}
	return nil, errors.Newf("unexpected message %T", msg)
}

func (s *Server) receive(ctx context.Context, msg proto.Replicate) error {
	for _, envelope := range msg.Envelopes {
		g, held := s.groups[envelope.Group]
		if !held || envelope.To != s.disk.ID() {
			continue
		}
		if err := g.replica.Tell(ctx, envelope.Message()); err != nil {
			return err
		}
	}
	return nil
}

// submit runs a command at the leader; while it certainly had no effect, it is
// tried again.
func (s *Server) submit(ctx context.Context, c store.Command) (store.Result, error) {
	for {
		result, err := s.submitOnce(ctx, c)
		if !withoutEffect(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Mark(err, ErrUnavailable)
		case <-time.After(_tick):
		}
	}
}

// withoutEffect tells an error after which the command certainly is not in the
// log.
func withoutEffect(err error) bool {
	return errors.IsAny(err, ErrNoLeader, ErrLost, ErrUnavailable, wire.ErrUnsent)
}

func (s *Server) submitOnce(ctx context.Context, c store.Command) (store.Result, error) {
	if s.leading() {
		return s.replica.Submit(ctx, c)
	}
	addr := s.leaderAddr()
	if addr == "" {
		return nil, ErrUnavailable
	}
	reply, err := s.client.Call(ctx, addr, proto.Submit{Command: c})
	if err != nil {
		return nil, err
	}
	out, ok := reply.(proto.SubmitReply)
	switch result, done := out.Result.(store.Result); {
	case !ok:
		return nil, errors.Newf("outcome is %T", reply)
	case done:
		return result, nil
	case out.NoEffect:
		return nil, errors.Errorf("%s: %w", out.Error, ErrUnavailable)
	default:
		return nil, errors.Newf("outcome unknown: %s", out.Error)
	}
}

func (s *Server) submitLocal(ctx context.Context, msg proto.Submit) proto.SubmitReply {
	c, ok := msg.Command.(store.Command)
	if !ok {
		return proto.SubmitReply{Error: "no command", NoEffect: true}
	}
	if g, held := s.groups[msg.Group]; held {
		return g.submit(ctx, c)
	}
	return proto.SubmitReply{Leader: s.holderOf(msg.Group), Error: "another host holds the group", NoEffect: true}
}

// holderOf returns the address of one of the hosts that hold a group, another
// one each time.
func (s *Server) holderOf(id uint32) string {
	voters := place.Voters(id, s.hosts)
	return s.cfg.Settings.AddrOf(voters[int(s.turn.Add(1))%len(voters)].Name)
}

// fresh waits until this host's state is as new as the leader's.
func (s *Server) fresh(ctx context.Context) error {
	index, err := s.replica.Barrier(ctx)
	if errors.Is(err, ErrNoLeader) {
		index, err = s.leaderBarrier(ctx)
	}
	if err != nil {
		return errors.Errorf("find the leader's index: %w", err)
	}
	return s.replica.Await(ctx, index)
}

func (s *Server) leaderBarrier(ctx context.Context) (uint64, error) {
	addr := s.leaderAddr()
	if addr == "" || s.leading() {
		return 0, ErrUnavailable
	}
	reply, err := s.call(ctx, addr, proto.Barrier{})
	if err != nil {
		return 0, err
	}
	current, _ := reply.(proto.BarrierReply)
	return current.Index, nil
}

func (s *Server) leaderAddr() string {
	return s.fleet.leaderAddr()
}

// pull answers a node with what changed, and waits for news for a while.
func (s *Server) pull(ctx context.Context, msg proto.Pull) (proto.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, min(msg.Wait, _maxWait))
	defer cancel()
	for {
		changed := s.replica.Changed()
		delta := s.delta(msg)
		if delta.Rev != msg.Rev || delta.Cluster != msg.Cluster {
			return delta, nil
		}
		select {
		case <-changed:
			// Changes that come together go out together.
			pause(ctx, _coalesce)
		case <-s.ctx.Done():
			return delta, nil
		case <-ctx.Done():
			return delta, nil
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) delta(msg proto.Pull) proto.Delta {
	var delta proto.Delta
	var control []string
	if s.finds() {
		control = s.fleet.addrs()
	}
	s.replica.Read(func(m store.Model) {
		v := m.View()
		delta = proto.Delta{Cluster: v.Cluster, From: msg.Rev, Rev: v.Rev, Control: control}
		if msg.Cluster != 0 && msg.Cluster != v.Cluster {
			return
		}
		events, ok := m.Since(msg.Rev)
		if ok {
			delta.Events = append([]view.Event(nil), events...)
			return
		}
		if msg.Rev < v.Rev {
			snapshot := v.Snapshot()
			delta.Snapshot = &snapshot
		}
	})
	return delta
}
