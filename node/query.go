package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/proto"
)

// _maxRelayPeers is the number of other nodes that are asked to query an owner which
// this node cannot reach.
const _maxRelayPeers = 2

// queryAttempt asks the owner for the state of an attempt, and to revoke it if revoke
// is set: over a new connection, or through other nodes if that fails. This process answers
// for its own instances, also when a stop has closed its listener. It also asks for the
// response.
func (s *Server) queryAttempt(ctx context.Context, res *attemptResult, revoke bool) (proto.AttemptStatus, bool) {
	// The outcome is recorded even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*_queryTimeout)
	defer cancel()
	c := res.choice.Candidate
	msg := proto.AttemptQuery{Attempt: res.ref, Instance: c.Key.ID, OwnerEpoch: c.Epoch, Revoke: revoke, Response: true}
	if c.Key.Node == s.cfg.Settings.Name && c.Epoch == s.epoch.Load() {
		return s.attemptStatus(msg), true
	}
	status, err := s.queryOwner(ctx, c.Addr, msg)
	if err == nil {
		return status, true
	}
	s.markUnreachable(c)
	return s.queryOwnerViaPeers(ctx, c.Addr, msg)
}

// queryOwner queries the owner of an attempt over a new connection.
func (s *Server) queryOwner(ctx context.Context, addr string, msg proto.AttemptQuery) (proto.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, _queryTimeout)
	defer cancel()
	reply, err := s.client.CallNewConn(ctx, addr, msg)
	if err != nil {
		return proto.AttemptStatus{}, errors.Errorf("query owner of the attempt: %w", err)
	}
	status, ok := reply.(proto.AttemptStatus)
	if !ok {
		return status, errors.Newf("unexpected reply to an attempt query: %T", reply)
	}
	return status, nil
}

// queryOwnerViaPeers asks other nodes to query the owner: an owner that this node
// cannot reach is usually reachable from another one.
func (s *Server) queryOwnerViaPeers(ctx context.Context, addr string, msg proto.AttemptQuery) (proto.AttemptStatus, bool) {
	var peers []string
	if !s.viewSync.withModel(ctx, func(m gossip.Model) { peers = m.RandomPeers(_maxRelayPeers, addr) }) {
		return proto.AttemptStatus{}, false
	}
	statuses := make(chan proto.AttemptStatus, len(peers))
	var queries sync.WaitGroup
	for _, peer := range peers {
		queries.Go(func() {
			reply, err := s.client.Call(ctx, peer, proto.RelayQuery{Addr: addr, Query: msg})
			if status, ok := reply.(proto.AttemptStatus); ok && err == nil {
				statuses <- status
			}
		})
	}
	queries.Wait()
	select {
	case status := <-statuses:
		return status, true
	default:
		return proto.AttemptStatus{}, false
	}
}

// recover continues with a response that was fetched from the owner.
func (e *exchange) recover(res *attemptResult, stored *proto.StoredResponse) {
	e.server.stats.recovered.Inc(1)
	e.server.log.Info("fetched a lost response from the owner", slog.String("request", e.id),
		slog.String("instance", res.choice.Candidate.Key.ID), slog.Duration("after", time.Since(res.startedAt)))
	res.response = httpResponse(stored) //nolint:bodyclose // closed by res.close
	e.parseResponse(res)
}

// attemptStatus returns the state of an attempt, which it first revokes if the query
// asks for it.
func (s *Server) attemptStatus(msg proto.AttemptQuery) proto.AttemptStatus {
	if msg.OwnerEpoch != s.epoch.Load() {
		return proto.AttemptStatus{State: ledger.Forgotten}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !msg.Revoke {
		return s.withResponse(msg, s.gate.State(msg.Attempt))
	}
	for _, cmd := range s.updateGateLocked(gate.RevokeMsg{ID: msg.Instance, Ref: msg.Attempt, At: s.now()}) {
		if revoked, ok := cmd.(gate.RevokeResultCmd); ok {
			return s.withResponse(msg, revoked.State)
		}
	}
	return proto.AttemptStatus{State: ledger.Forgotten}
}

// withResponse returns the status of an attempt with its response, if the query asks for
// it and the attempt has finished.
func (s *Server) withResponse(msg proto.AttemptQuery, state ledger.State) proto.AttemptStatus {
	status := proto.AttemptStatus{State: state}
	if msg.Response && state == ledger.Finished {
		status.Response = s.responses.get(msg.Attempt)
	}
	return status
}
