package ctrl

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_maxWait       = 20 * time.Second
	_coalesceDelay = 20 * time.Millisecond
)

// ErrUnavailable reports that no leader with a quorum is known. The request had no
// effect.
var ErrUnavailable = errors.New("no leader with a quorum")

func (s *Server) peerHandler() http.Handler {
	return wire.ServeAt(s.cfg.Settings.Center, s.cfg.Settings.Key, proto.Codec, s.handle)
}

func (s *Server) handle(ctx context.Context, msg any) (any, error) {
	switch msg := msg.(type) {
	case proto.Replicate:
		if msg.WantReplies {
			return s.receiveWithReplies(ctx, msg.Envelopes)
		}
		return proto.Ack{}, s.receive(ctx, msg.Envelopes)
	case proto.Hello:
		g, held := s.groups[msg.Group]
		hello := proto.HelloReply{ID: s.disk.ID(), Name: s.cfg.Settings.Name, Member: held && g.isMember()}
		if held {
			hello.Addrs = g.addrs()
		}
		return hello, nil
	case proto.Join:
		g, held := s.groups[msg.Group]
		if !held {
			return nil, ErrUnavailable
		}
		return proto.Ack{}, g.join(ctx, msg)
	case proto.Submit:
		return s.handleSubmit(ctx, msg), nil
	case proto.Barrier:
		index, err := s.replica.Barrier(ctx)
		return proto.BarrierReply{Index: index}, err
	case proto.Pull:
		return s.pull(ctx, msg)
	case proto.Heartbeat:
		return s.heartbeat(ctx, msg), nil
	case proto.Report:
		return s.report(ctx, msg)
	case proto.ListUsages:
		return s.quotas.usages(), nil
	case proto.ListFlows:
		return proto.ListFlowsReply{Nodes: s.flowBoard.list()}, nil
	case proto.Standings:
		s.quotas.receive(msg)
		return proto.Ack{}, nil
	case proto.ListRevisions:
		return proto.ListRevisionsReply{Nodes: s.membership.appliedRevisions()}, nil
	}
	return nil, errors.Newf("unexpected message %T", msg)
}

// receiveWithReplies passes replication messages to their replicas and returns the
// replies that come soon.
func (s *Server) receiveWithReplies(ctx context.Context, envelopes []raft.Envelope) (proto.ReplicateReply, error) {
	collected := newReplies(len(envelopes))
	for _, envelope := range envelopes {
		g, held := s.groups[envelope.Group]
		if !held || envelope.To != s.disk.ID() {
			collected.handled()
			continue
		}
		if err := g.replica.deliver(ctx, delivery{msg: envelope.Message(), replies: collected}); err != nil {
			return proto.ReplicateReply{}, err
		}
	}
	return proto.ReplicateReply{Envelopes: collected.wait(ctx)}, nil
}

// receive passes replication messages to their replicas.
func (s *Server) receive(ctx context.Context, envelopes []raft.Envelope) error {
	for _, envelope := range envelopes {
		g, held := s.groups[envelope.Group]
		if !held || envelope.To != s.disk.ID() {
			continue
		}
		if err := g.replica.Step(ctx, envelope.Message()); err != nil {
			return err
		}
	}
	return nil
}

// submit runs a command at the leader. It retries as long as the command certainly
// had no effect.
func (s *Server) submit(ctx context.Context, c store.Command) (store.Result, error) {
	for {
		result, err := s.submitOnce(ctx, c)
		if !hadNoEffect(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Mark(err, ErrUnavailable)
		case <-time.After(_tick):
		}
	}
}

// hadNoEffect reports whether the command certainly is not in the log after the
// error.
func hadNoEffect(err error) bool {
	return errors.IsAny(err, ErrNotLeader, ErrReplaced, ErrUnavailable, wire.ErrUnsent)
}

func (s *Server) submitOnce(ctx context.Context, c store.Command) (store.Result, error) {
	if s.isLeader() {
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
		return nil, errors.Newf("submit reply has type %T", reply)
	case done:
		return result, nil
	case out.NoEffect:
		return nil, errors.Errorf("%s: %w", out.Error, ErrUnavailable)
	default:
		return nil, errors.Newf("outcome unknown: %s", out.Error)
	}
}

func (s *Server) handleSubmit(ctx context.Context, msg proto.Submit) proto.SubmitReply {
	c, ok := msg.Command.(store.Command)
	if !ok {
		return proto.SubmitReply{Error: "no command", NoEffect: true}
	}
	if g, held := s.groups[msg.Group]; held {
		return g.submit(ctx, c)
	}
	return proto.SubmitReply{Leader: s.voterAddr(msg.Group), Error: "another host holds the group", NoEffect: true}
}

// voterAddr returns the address of a voter of the group, rotating among the voters
// from call to call.
func (s *Server) voterAddr(id uint32) string {
	voters := place.Voters(id, s.hosts)
	return s.cfg.Settings.AddrOf(voters[int(s.nextVoter.Add(1))%len(voters)].Name)
}

// catchUp waits until this host has applied everything that the leader had committed
// at the time of the call.
func (s *Server) catchUp(ctx context.Context) error {
	index, err := s.replica.Barrier(ctx)
	if errors.Is(err, ErrNotLeader) {
		index, err = s.leaderBarrier(ctx)
	}
	if err != nil {
		return errors.Errorf("find the leader's index: %w", err)
	}
	return s.replica.Await(ctx, index)
}

func (s *Server) leaderBarrier(ctx context.Context) (uint64, error) {
	addr := s.leaderAddr()
	if addr == "" || s.isLeader() {
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

// pull returns the changes since the node's revision. If there are none, it waits for
// them for the time that the node requested, at most _maxWait.
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
			// Batches changes that follow each other closely.
			sleep(ctx, _coalesceDelay)
		case <-s.ctx.Done():
			return delta, nil
		case <-ctx.Done():
			return delta, nil
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) delta(msg proto.Pull) proto.Delta {
	var delta proto.Delta
	var control []string
	if s.usesDiscovery() {
		control = s.fleet.addrs()
	}
	s.replica.Read(func(m store.Model) {
		v := m.View()
		delta = proto.Delta{Cluster: v.Cluster, From: msg.Rev, Rev: v.Rev, Control: control, Current: s.replica.InTouch()}
		if msg.Head || msg.Cluster != 0 && msg.Cluster != v.Cluster {
			return
		}
		events, ok := m.Since(msg.Rev)
		if ok {
			delta.Events = make([]view.Event, 0, len(events))
			for _, e := range events {
				delta.Events = append(delta.Events, e.WithoutSecrets())
			}
			return
		}
		if msg.Rev < v.Rev {
			snapshot := v.Snapshot().WithoutSecrets()
			delta.Snapshot = &snapshot
		}
	})
	return delta
}
