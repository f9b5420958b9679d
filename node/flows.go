package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/proto"
)

// flowsSince returns the flows of the services with the most attempts and busy slots since a
// time, for a heartbeat, and counts the attempts anew.
func (s *Server) flowsSince(last time.Duration) ([]proto.ServiceFlow, time.Duration) {
	byService := s.instanceFlows()
	s.fleet.takeSent(byService)
	list := make([]proto.ServiceFlow, 0, len(byService))
	for name, f := range byService {
		if len(f.Sent) == 0 && f.Slots == 0 {
			continue
		}
		f.Service = name
		list = append(list, *f)
	}
	weight := func(f proto.ServiceFlow) int {
		n := f.Running + f.Queued
		for _, sent := range f.Sent {
			n += sent
		}
		return n
	}
	slices.SortFunc(list, func(a, b proto.ServiceFlow) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), proto.MaxFlows)], s.now() - last
}

// instanceFlows returns the state of this node's instances by service.
func (s *Server) instanceFlows() map[string]*proto.ServiceFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	byService := map[string]*proto.ServiceFlow{}
	for id, b := range s.backends {
		f := byService[b.instance.Service]
		if f == nil {
			f = &proto.ServiceFlow{}
			byService[b.instance.Service] = f
		}
		load := s.gate.Load(id, s.now())
		f.Slots += load.Slots
		f.Running += load.Running
		f.Queued += load.Queued
	}
	return byService
}

// takeSent adds the attempts that were sent since it was last called.
func (f *fleet) takeSent(byService map[string]*proto.ServiceFlow) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for name, s := range f.services {
		s.mu.Lock()
		if len(s.sent) > 0 {
			if byService[name] == nil {
				byService[name] = &proto.ServiceFlow{}
			}
			byService[name].Sent, s.sent = s.sent, nil
		}
		s.mu.Unlock()
	}
}

// countSentLocked counts an attempt by the data centre that it is sent to.
func (s *service) countSentLocked(center string) {
	if s.sent == nil {
		s.sent = map[string]int{}
	}
	if _, known := s.sent[center]; known || len(s.sent) < proto.MaxFlowCenters {
		s.sent[center]++
	}
}

// countFlow assigns the bytes of an attempt that has a response to their cause.
func (r *attemptResult) countFlow() {
	switch {
	case r.conn == nil:
	case r.response == nil:
		r.conn.Decide(flow.Lost)
	case r.retryIsFree:
		r.conn.Decide(flow.Refused)
	default:
		r.conn.Decide(flow.Run)
	}
}
