package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/trip"
)

// travel runs the request's model to its end.
func (e *exchange) travel(ctx context.Context) {
	e.trip = trip.New(trip.Config{
		Once:       e.match.Route.Once,
		Key:        e.r.Header.Get(HeaderKey),
		Replayable: e.replayable(),
		Attempts:   e.match.Attempts(),
	})
	if e.match.Route.Once && e.r.Header.Get(HeaderKey) != "" {
		// A caller that went away sends again and wants the answer then.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
	}
	defer func() {
		e.last.discard()
		e.failed.discard()
	}()
	var msg trip.Msg = trip.BeginMsg{}
	for msg != nil {
		msg = e.update(ctx, msg)
	}
}

// update returns the message that the commands led to, or nil at the end.
func (e *exchange) update(ctx context.Context, msg trip.Msg) trip.Msg {
	model, cmds := e.trip.Update(msg)
	e.trip = model
	var next trip.Msg
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case trip.ClaimCmd:
			next = e.take(ctx, cmd.Key)
		case trip.AttemptCmd:
			next = e.attempt(ctx, cmd)
		case trip.RevokeCmd:
			next = e.revoke(ctx)
		case trip.SettleCmd:
			e.settleClaim(cmd.Outcome)
		case trip.DeliverCmd:
			if failedStatus(e.last.response) {
				e.server.recordNestedFailure(e.match.Service.Name)
			}
			e.copyAnswer(e.last)
		case trip.FailCmd:
			e.tell(cmd)
		case trip.DuplicateCmd:
			e.repeat(cmd.State)
		case trip.KeyMismatchCmd:
			refuse(e.w, http.StatusUnprocessableEntity, "the key was used for another request")
		}
	}
	return next
}

// attempt makes one attempt and says what came of it.
func (e *exchange) attempt(ctx context.Context, cmd trip.AttemptCmd) trip.Msg {
	if cmd.Retry && (ctx.Err() != nil || e.crashes >= _maxCrashes || !cmd.Free && !e.spend()) {
		e.server.log.Info("no retry", slog.String("request", e.id))
		return trip.NoBudgetMsg{}
	}
	if cmd.Retry {
		e.server.stats.retries.Inc(1)
		e.setAside()
	}
	res, ok := e.try(ctx)
	if !ok {
		return trip.NoInstanceMsg{Left: time.Until(e.deadline)}
	}
	e.last = res
	if res.response == nil {
		return trip.LostMsg{Sent: res.sent, Reason: res.reason, Left: time.Until(e.deadline)}
	}
	return trip.ResponseMsg{
		Fate:   res.fate,
		Reason: res.reason,
		Free:   res.free,
		Resent: res.copies.Load() > 1,
		Failed: failedStatus(res.response),
		Left:   time.Until(e.deadline),
	}
}

// setAside makes room for another attempt; an instance's own failure is kept,
// for it tells the caller more than that no other instance served.
func (e *exchange) setAside() {
	if e.last != nil && e.last.fate == retry.Executed {
		e.failed.discard()
		e.failed = e.last
		return
	}
	e.last.discard()
}

// revoke asks the owner about the last attempt and forbids it.
func (e *exchange) revoke(ctx context.Context) trip.Msg {
	state, known := e.server.inquire(ctx, e.last, true)
	return trip.RevokeResultMsg{Known: known, State: state, Left: time.Until(e.deadline)}
}

// share returns what an owner's part is in a budget of the whole fleet, by
// service, if there is one: it is kept where the repeats arrive.
func (s *Server) share() (func(service string) retry.Quota, bool) {
	total := s.cfg.Settings.Retry
	return func(service string) retry.Quota {
		return retry.NodeQuota(total.Ratio, total.Slack, total.Window.Std(), s.fleet.instanceCount(service))
	}, total.Window > 0
}

// spend asks this ingress's own budget, unless owners keep one.
func (e *exchange) spend() bool {
	if _, ok := e.server.share(); ok {
		return true
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	budget, ok := e.service.budget.TakeRetry(retry.DefaultQuota(), e.server.now())
	e.service.budget = budget
	return ok
}

// tell tells the caller that the request was not run, or may have run.
func (e *exchange) tell(cmd trip.FailCmd) {
	e.server.recordNestedFailure(e.match.Service.Name)
	e.server.log.Info("not served", slog.String("request", e.id),
		slog.String("from", e.r.RemoteAddr), slog.String("service", e.match.Service.Name), slog.String("fate", string(cmd.Fate)),
		slog.String("reason", cmd.Reason), slog.Int("tries", e.trip.Tries()), slog.Int("arrived", e.trip.Arrived()),
		slog.Duration("after", time.Since(e.began)), slog.Duration("left", time.Until(e.deadline)))
	if e.failed != nil {
		e.copyAnswer(e.failed)
		return
	}
	if cmd.Fate == retry.NotExecuted {
		e.server.stats.refused.Inc(1)
		e.server.stats.refusal.RecordDuration(time.Since(e.began))
		e.w.Header().Set("Retry-After", "1")
		refuse(e.w, http.StatusServiceUnavailable, cmd.Reason)
		return
	}
	e.server.stats.unknown.Inc(1)
	e.w.Header().Set(HeaderOutcome, "unknown")
	e.w.Header().Set(HeaderReason, cmd.Reason)
	http.Error(e.w, "the request may have run: "+cmd.Reason, http.StatusGatewayTimeout)
}
