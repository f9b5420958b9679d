package node

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/wire"
)

// _maxMessage is the maximum size in bytes of a message to a node.
const _maxMessage = 1 << 20

// peerHandler returns the handler for attempts and RPCs from other nodes and control
// hosts.
func (s *Server) peerHandler() http.Handler {
	rpc := wire.ServeAt(s.cfg.Settings.Center, s.cfg.Settings.Key, proto.Codec, s.handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unpackHeader(r.Header) {
			w = packedWriter{ResponseWriter: w, requestID: s.headers.RequestID}
		}
		if r.Header.Get(_headerAttempt) == "" {
			r.Body = http.MaxBytesReader(w, r.Body, _maxMessage)
			rpc.ServeHTTP(w, r)
			return
		}
		s.serveAttempt(w, r)
	})
}

func (s *Server) handle(ctx context.Context, msg any) (any, error) {
	switch msg := msg.(type) {
	case proto.AttemptQuery:
		return s.attemptStatus(msg), nil
	case proto.RelayQuery:
		return s.queryOwner(ctx, msg.Addr, msg.Query)
	case proto.Pull:
		var delta proto.Delta
		if !s.viewSync.withModel(ctx, func(m gossip.Model) { delta = m.HandlePull(msg) }) {
			return nil, ctx.Err()
		}
		return delta, nil
	case proto.Probe:
		_, err := s.call(ctx, msg.Addr, proto.Hello{})
		return proto.ProbeReply{Reached: err == nil}, nil
	case proto.Hello:
		return proto.HelloReply{Name: s.cfg.Settings.Name, ID: s.epoch.Load()}, nil
	case proto.Entrust:
		return proto.Ack{}, s.acceptDeparture(ctx, msg.Rumor)
	case proto.TakeOver:
		return s.handOver(ctx)
	}
	return nil, errors.Newf("unexpected message %T", msg)
}
