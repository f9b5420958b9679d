package ctrl

import (
	"context"
	"time"

	"github.com/damaskpitch/damaskpitch/store"
)

// leaderLoop performs the duties of the fleet group's leader: bootstrapping the
// fleet, advancing the log time and detecting failed members.
func (s *Server) leaderLoop(ctx context.Context) error {
	ticker := time.NewTicker(_clockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.leaderChanged:
			s.membership.reset(s.isLeader())
			s.quotas.reset()
			if s.isLeader() {
				s.leaderTick(ctx)
			}
		case <-ticker.C:
			if !s.isLeader() {
				continue
			}
			s.leaderTick(ctx)
		}
	}
}

// leaderTick performs the leader's duties once. It has a timeout because the host may
// have lost its leadership in the meantime.
func (s *Server) leaderTick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	s.bootstrapFleet(ctx)
	_, _ = s.replica.Submit(ctx, store.AdvanceClock{})
	s.membership.check(ctx)
	s.quotas.maintain()
}

// signalLeaderChange notifies leaderLoop of a change of leadership. It never blocks,
// since it is called from the replica's loop.
func (s *Server) signalLeaderChange() {
	select {
	case s.leaderChanged <- struct{}{}:
	default:
	}
}
