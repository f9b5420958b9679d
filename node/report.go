package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
)

const (
	// _reportInterval is the time between two looks at whether a report is due.
	_reportInterval = time.Second
	// _reportTimeout bounds a report, so that a leader which stands still is left soon after
	// the next one is elected. A node goes on at its leased rate meanwhile.
	_reportTimeout = 400 * time.Millisecond
	// _reportRetry is the time after a report that failed.
	_reportRetry = 250 * time.Millisecond
	// _confirmShare is the part of the time to withdraw a key after which the version of the
	// plan is confirmed again. Several may fail before the right to honour keys ends.
	_confirmShare = 0.15
	// _maxWaitShare is the part of that time that one report may take.
	_maxWaitShare = 0.3
)

// runReports reports the use of customers' tokens to the leader, and has the version of the
// plan confirmed, until the context ends.
func (s *Server) runReports(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sentAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-s.usage.changed:
		}
		wait := s.nextReport(sentAt) - bootTime()
		if wait <= 0 {
			sentAt = bootTime()
			wait = 0
			if err := s.sendReport(ctx); err != nil && ctx.Err() == nil {
				s.log.Debug("report failed", slog.Any("error", err))
				if !sleep(ctx, _reportRetry) {
					return nil
				}
			}
		}
		timer.Reset(min(wait, _reportInterval))
	}
}

// nextReport returns when the next report is due, given when the last one was sent.
func (s *Server) nextReport(sentAt time.Duration) time.Duration {
	at := bootTime()
	s.usage.mu.Lock()
	next, due := s.usage.holder.NextReport(at)
	s.usage.mu.Unlock()
	if !due {
		next = at + _reportInterval
	}
	if revoke := s.cfg.Settings.Revoke.Std(); revoke > 0 {
		confirm := time.Duration(_confirmShare * float64(revoke))
		next = min(next, sentAt+min(confirm, _reportInterval))
	}
	return next
}

// reportTimeout returns how long a report may take, so that another host can be asked
// before the right to honour keys ends.
func (s *Server) reportTimeout() time.Duration {
	if revoke := s.cfg.Settings.Revoke.Std(); revoke > 0 {
		return min(_reportTimeout, time.Duration(_maxWaitShare*float64(revoke)))
	}
	return _reportTimeout
}

// sendReport sends a report to the leader and applies the answer.
func (s *Server) sendReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.reportTimeout())
	defer cancel()
	sentAt := bootTime()
	s.usage.mu.Lock()
	s.usage.holder.SetNodes(s.fleet.memberCount())
	r := s.usage.holder.Report(sentAt)
	s.usage.mu.Unlock()
	reply, err := s.callControl(ctx, place.FleetGroup, proto.Report{
		Node: r.Node, Epoch: r.Epoch, Seq: r.Seq, Version: s.fleet.planVersion(), Needs: r.Needs,
	})
	if err != nil {
		return err
	}
	answer, ok := reply.(proto.ReportReply)
	if !ok {
		return ErrControlUnavailable
	}
	s.usage.mu.Lock()
	s.usage.holder.Answer(bootTime(), r.Seq, answer.Answer())
	s.usage.wakeLocked()
	s.usage.mu.Unlock()
	s.confirmPlan(sentAt, answer.Version)
	return nil
}
