package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// _maxRedirects is how many redirects to a leader a call follows beyond one try per
// control host.
const _maxRedirects = 2

// ErrControlUnavailable means that no control host answered a call.
var ErrControlUnavailable = errors.New("no control host answers")

// runHeartbeats sends heartbeats until the context ends.
func (s *Server) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(_heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := s.sendHeartbeat(ctx); err != nil && ctx.Err() == nil {
			s.log.Debug("heartbeat failed", slog.Any("error", err))
		}
		s.submitCustody(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.heartbeatNow:
		}
	}
}

// heartbeatSoon triggers a heartbeat without waiting for the interval.
func (s *Server) heartbeatSoon() {
	select {
	case s.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendHeartbeat renews the node's lease. Without a control host, the node gossips
// its instances to its peers.
func (s *Server) sendHeartbeat(ctx context.Context) error {
	instances, leaving := s.instances()
	if leaving || s.superseded {
		return nil
	}
	var rev uint64
	if !s.viewSync.withModel(ctx, func(m gossip.Model) { rev = m.View().Rev }) {
		return nil
	}
	msg := proto.Heartbeat{
		Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Rev: rev, Digest: view.Digest(instances),
	}
	msg.Flows, msg.FlowTime = s.flowsSince(s.flowsToldAt)
	s.flowsToldAt = s.now()
	err := s.renewLease(ctx, msg, instances)
	if err != nil {
		s.viewSync.announceLocal(ctx, s.member(), instances)
	}
	return err
}

// renewLease renews the lease, and registers the node again when the control hosts
// have another state of it.
func (s *Server) renewLease(ctx context.Context, msg proto.Heartbeat, instances []view.Instance) error {
	reply, err := s.callControl(ctx, place.FleetGroup, msg)
	if err != nil {
		return err
	}
	heartbeat, ok := reply.(proto.HeartbeatReply)
	if !ok || heartbeat.Known {
		return nil
	}
	return s.registerNode(ctx, instances)
}

// registerNode registers the node and its instances with the control hosts.
func (s *Server) registerNode(ctx context.Context, instances []view.Instance) error {
	result, err := s.submit(ctx, place.FleetGroup, store.RegisterMember{Member: s.member(), Instances: instances})
	if err != nil {
		return errors.Errorf("register node: %w", err)
	}
	if _, stale := result.(store.Stale); !stale {
		s.registered = true
		return nil
	}
	if s.registered {
		s.log.Warn("superseded by another process with the same node name")
		s.superseded = true
		return nil
	}
	// The clock was set back since an earlier start: use an epoch past that one's.
	s.viewSync.withModel(ctx, func(m gossip.Model) {
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

// submit runs a command at the leader of a group. It retries until _submitTimeout,
// as every command is safe to repeat.
func (s *Server) submit(ctx context.Context, group uint32, c store.Command) (store.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, _submitTimeout)
	defer cancel()
	for {
		reply, err := s.callControl(ctx, group, proto.Submit{Group: group, Command: c})
		submitted, _ := reply.(proto.SubmitReply)
		if result, ok := submitted.Result.(store.Result); ok && err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Errorf("submit %T: %w", c, ErrControlUnavailable)
		case <-time.After(_tickInterval):
		}
	}
}

// callControl calls the known leader of a group, or else the control hosts: first the one
// that is current, which knows the leader, then the others in turn. A host that does not
// answer costs the call's whole timeout, so it is asked once.
func (s *Server) callControl(ctx context.Context, group uint32, msg any) (any, error) {
	hosts := s.viewSync.controlAddrs()
	silent := make(map[string]bool, len(hosts))
	for range len(hosts) + _maxRedirects {
		addr := s.leaderAddr(group)
		if addr == "" || silent[addr] {
			addr = s.nextControlHost(silent)
		}
		if addr == "" {
			break
		}
		reply, err := s.call(ctx, addr, msg)
		if err != nil {
			silent[addr] = true
			s.setLeader(group, "")
			continue
		}
		leader, redirected := leaderFrom(reply)
		if !redirected {
			return reply, nil
		}
		s.setLeader(group, leader)
	}
	return nil, ErrControlUnavailable
}

// leaderFrom returns the leader that a reply names, and whether the reply is a
// redirect instead of a result.
func leaderFrom(reply any) (string, bool) {
	switch reply := reply.(type) {
	case proto.SubmitReply:
		return reply.Leader, reply.Result == nil
	case proto.HeartbeatReply:
		return reply.Leader, !reply.FromLeader
	case proto.ReportReply:
		return reply.Leader, !reply.FromLeader
	}
	return "", false
}

// leaderAddr returns the address of a group's last known leader, or "".
func (s *Server) leaderAddr(group uint32) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaders[group]
}

// nextControlHost returns the control host that is current, or the next one in turn, but
// none of those that do not answer; it returns "" if there is no other.
func (s *Server) nextControlHost(silent map[string]bool) string {
	if addr := *s.viewSync.currentHost.Load(); addr != "" && !silent[addr] {
		return addr
	}
	hosts := s.viewSync.controlAddrs()
	for range hosts {
		if addr := hosts[s.nextControl.Add(1)%uint64(len(hosts))]; !silent[addr] {
			return addr
		}
	}
	return ""
}

func (s *Server) setLeader(group uint32, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaders[group] = addr
}

func (s *Server) call(ctx context.Context, addr string, msg any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	return s.client.Call(ctx, addr, msg)
}
