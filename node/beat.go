package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spread"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// _redirects is how often a control host may name another one to ask.
const _redirects = 2

// ErrControl says that no control host took a command.
var ErrControl = errors.New("no control host answers")

// beats renews this node's lease and enrolls it when the control hosts know
// it otherwise than it is.
func (s *Server) beats(ctx context.Context) error {
	ticker := time.NewTicker(_beatInterval)
	defer ticker.Stop()
	for {
		if err := s.beat(ctx); err != nil && ctx.Err() == nil {
			s.log.Debug("heartbeat", slog.Any("error", err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.kick:
		}
	}
}

// hurry sends the next heartbeat at once.
func (s *Server) hurry() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *Server) beat(ctx context.Context) error {
	instances, leaving := s.instances()
	if leaving || s.succeeded {
		return nil
	}
	var rev uint64
	if !s.follow.withModel(ctx, func(m spread.Model) { rev = m.View().Rev }) {
		return nil
	}
	msg := proto.Heartbeat{
		Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Rev: rev, Digest: view.Digest(instances),
	}
	err := s.renew(ctx, msg, instances)
	if err != nil {
		s.follow.announceLocal(ctx, s.member(), instances)
	}
	return err
}

// renew renews the lease, and enrolls when the control hosts know this node
// otherwise than it is.
func (s *Server) renew(ctx context.Context, msg proto.Heartbeat, instances []view.Instance) error {
	reply, err := s.callControl(ctx, place.FleetGroup, msg)
	if err != nil {
		return err
	}
	known, ok := reply.(proto.HeartbeatReply)
	if !ok || known.Known {
		return nil
	}
	return s.enroll(ctx, instances)
}

func (s *Server) enroll(ctx context.Context, instances []view.Instance) error {
	result, err := s.submit(ctx, place.FleetGroup, store.RegisterMember{Member: s.member(), Instances: instances})
	if err != nil {
		return errors.Errorf("enroll: %w", err)
	}
	if _, stale := result.(store.Stale); !stale {
		s.enrolled = true
		return nil
	}
	if s.enrolled {
		s.log.Warn("succeeded by another process of this name")
		s.succeeded = true
		return nil
	}
	// The clock was set back since an earlier start: go past its epoch.
	s.follow.withModel(ctx, func(m spread.Model) {
		if known, ok := m.View().Member(s.cfg.Settings.Name); ok && known.Epoch >= s.epoch.Load() {
			s.epoch.Store(known.Epoch + 1)
		}
	})
	return nil
}

func (s *Server) member() view.Member {
	settings := s.cfg.Settings
	return view.Member{
		Node:         settings.Name,
		Epoch:        s.epoch.Load(),
		Center:       settings.Center,
		Region:       settings.Region,
		Addr:         settings.PeerAddr(),
		Reachability: view.Reachable,
	}
}

// submit runs a command at the leader of a group; every command may be sent
// again.
func (s *Server) submit(ctx context.Context, group uint32, c store.Command) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, _submitTimeout)
	defer cancel()
	for {
		reply, err := s.callControl(ctx, group, proto.Submit{Group: group, Command: c})
		out, _ := reply.(proto.SubmitReply)
		if result, ok := out.Result.(store.Result); ok && err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Errorf("submit %T: %w", c, ErrControl)
		case <-time.After(_tick):
		}
	}
}

// callControl asks a group's known leader, or the control hosts in turn.
func (s *Server) callControl(ctx context.Context, group uint32, msg any) (any, error) {
	hosts := s.follow.controlAddrs()
	for range len(hosts) + _redirects {
		addr := s.leaderAddr(group)
		reply, err := s.call(ctx, addr, msg)
		if err != nil {
			s.followLeader(group, "")
			continue
		}
		leader, elsewhere := leaderIn(reply)
		if !elsewhere {
			return reply, nil
		}
		s.followLeader(group, leader)
	}
	return nil, ErrControl
}

// leaderIn returns the leader that an answer names instead of answering.
func leaderIn(reply any) (string, bool) {
	switch reply := reply.(type) {
	case proto.SubmitReply:
		return reply.Leader, reply.Result == nil
	case proto.HeartbeatReply:
		return reply.Leader, !reply.FromLeader
	}
	return "", false
}

func (s *Server) leaderAddr(group uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr := s.leaders[group]; addr != "" {
		return addr
	}
	hosts := s.follow.controlAddrs()
	return hosts[s.turn.Add(1)%uint64(len(hosts))]
}

func (s *Server) followLeader(group uint32, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaders[group] = addr
}

func (s *Server) call(ctx context.Context, addr string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	return s.client.Call(ctx, addr, msg)
}
