package ctrl

import (
	"context"
	"time"

	"github.com/damaskpitch/damaskpitch/store"
)

// leaderLoop does the leader's work: it names the fleet, moves log time on and
// watches the members.
func (s *Server) leaderLoop(ctx context.Context) error {
	ticker := time.NewTicker(_clockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.leads:
			s.membership.reset(s.leading())
			if s.leading() {
				s.leaderTurn(ctx)
			}
		case <-ticker.C:
			if !s.leading() {
				continue
			}
			s.leaderTurn(ctx)
		}
	}
}

// leaderTurn does one turn of the leader's work; a turn that cannot finish is cut
// short, since leadership may have gone.
func (s *Server) leaderTurn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	s.identify(ctx)
	_, _ = s.replica.Submit(ctx, store.AdvanceClock{})
	s.membership.check(ctx)
}

// signalLead tells the leader loop that leadership changed; it must never
// hold up the replica.
func (s *Server) signalLead() {
	select {
	case s.leads <- struct{}{}:
	default:
	}
}
