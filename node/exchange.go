package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/retry"
)

// run drives the request's lifecycle model until it has no further message.
func (e *exchange) run(ctx context.Context) {
	e.lifecycle = call.New(call.Config{
		Once:          e.match.Route.Once,
		Key:           e.r.Header.Get(HeaderIdempotencyKey),
		Replayable:    e.body.replayable(),
		MaxDeliveries: e.match.Attempts(),
	})
	if e.match.Route.Once && e.r.Header.Get(HeaderIdempotencyKey) != "" {
		// The request continues after the caller disconnects: the caller may resend
		// it with the same key and then receives the stored response.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
		defer cancel()
	}
	defer func() {
		e.lastResult.close()
		e.failedResult.close()
	}()
	var msg call.Msg = call.BeginMsg{}
	for msg != nil {
		msg = e.update(ctx, msg)
	}
}

// update executes the commands of the model and returns the message that they
// result in, or nil at the end.
func (e *exchange) update(ctx context.Context, msg call.Msg) call.Msg {
	model, cmds := e.lifecycle.WithReplayable(e.body.replayable()).Update(msg)
	e.lifecycle = model
	var next call.Msg
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case call.ClaimCmd:
			next = e.claimKey(ctx, cmd.Key)
		case call.AttemptCmd:
			next = e.makeAttempt(ctx, cmd)
		case call.RevokeCmd:
			next = e.revokeLast(ctx)
		case call.SettleCmd:
			e.settleClaim(cmd.Outcome)
		case call.DeliverCmd:
			if isServerFailure(e.lastResult.response) {
				e.server.recordNestedFailure(e.match.Service.Name, e.startedAt)
			}
			e.copyResponse(e.lastResult)
		case call.FailCmd:
			e.respondFailure(cmd)
		case call.DuplicateCmd:
			e.respondDuplicate(cmd.State)
		case call.KeyMismatchCmd:
			refuse(e.w, http.StatusUnprocessableEntity, "the key was used for another request")
		}
	}
	return next
}

// makeAttempt makes one attempt and returns the message that reports its outcome.
func (e *exchange) makeAttempt(ctx context.Context, cmd call.AttemptCmd) call.Msg {
	if cmd.Retry && (ctx.Err() != nil || e.crashCount >= e.maxCrashes() || !cmd.Free && !e.takeRetryBudget()) {
		e.server.log.Info("not retrying the request", slog.String("request", e.id))
		return call.NoBudgetMsg{}
	}
	if cmd.Retry {
		e.server.stats.retries.Inc(1)
		e.retireLast()
	}
	res, ok := e.tryInstance(ctx)
	if !ok {
		return call.NoInstanceMsg{}
	}
	e.lastResult = res
	if res.execution != retry.Executed {
		e.body.release()
	}
	if res.response == nil {
		return call.LostMsg{Sent: res.maybeSent, Reason: res.reason, TimeLeft: time.Until(e.deadline)}
	}
	return e.responseMsg(res)
}

// responseMsg returns the message that reports the response to an attempt.
func (e *exchange) responseMsg(res *attemptResult) call.Msg {
	return call.ResponseMsg{
		Execution: res.execution,
		Reason:    res.reason,
		Free:      res.retryIsFree,
		Resent:    res.transportSends.Load() > 1,
		Failed:    isServerFailure(res.response),
		TimeLeft:  time.Until(e.deadline),
	}
}

// retireLast releases the last attempt before another one starts. A failure
// response from an instance is kept: it tells the caller more than an error
// saying that no other instance served the request.
func (e *exchange) retireLast() {
	if e.lastResult != nil && e.lastResult.execution == retry.Executed {
		e.failedResult.close()
		e.failedResult = e.lastResult
		return
	}
	e.lastResult.close()
}

// revokeLast revokes the last attempt at its owner and returns the state that the
// owner reports.
func (e *exchange) revokeLast(ctx context.Context) call.Msg {
	status, known := e.server.queryAttempt(ctx, e.lastResult, true)
	if status.Response != nil {
		e.recover(e.lastResult, status.Response)
		return e.responseMsg(e.lastResult)
	}
	if known && status.State == ledger.Canceled {
		e.search, _ = e.search.Update(probe.RefusedMsg{
			At: e.server.now(), Key: e.lastResult.choice.Candidate.Key, Mode: e.lastResult.tryCmd.Mode, Reason: probe.Unreached,
		})
	}
	return call.RevokeResultMsg{Known: known, State: status.State, TimeLeft: time.Until(e.deadline)}
}

// retryQuota returns a function that gives this owner's part of the fleet-wide
// retry budget of a service, and whether such a budget is configured. Owners
// enforce it, since retries arrive there.
func (s *Server) retryQuota() (func(service string) retry.Quota, bool) {
	settings := s.cfg.Settings.Retry
	return func(service string) retry.Quota {
		return retry.NodeQuota(settings.Ratio, settings.Slack, settings.Window.Std(), s.fleet.instanceCount(service))
	}, settings.Window > 0
}

// takeRetryBudget takes one retry from this ingress's budget and reports whether
// it is allowed. It always is where owners enforce a fleet-wide budget.
func (e *exchange) takeRetryBudget() bool {
	if _, ok := e.server.retryQuota(); ok {
		return true
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	budget, ok := e.service.budget.TakeRetry(retry.DefaultQuota(), e.server.now())
	e.service.budget = budget
	return ok
}

// respondFailure tells the caller that the request was not run, or may have run.
// If an instance answered with a failure, that response is sent instead.
func (e *exchange) respondFailure(cmd call.FailCmd) {
	e.server.recordNestedFailure(e.match.Service.Name, e.startedAt)
	e.server.log.Info("request failed", slog.String("request", e.id),
		slog.String("from", e.r.RemoteAddr), slog.String("service", e.match.Service.Name), slog.String("fate", string(cmd.Execution)),
		slog.String("reason", cmd.Reason), slog.Int("tries", e.lifecycle.Attempts()), slog.Int("arrived", e.lifecycle.Deliveries()),
		slog.Duration("after", time.Since(e.startedAt)), slog.Duration("left", time.Until(e.deadline)))
	if e.failedResult != nil {
		e.copyResponse(e.failedResult)
		return
	}
	if cmd.Execution == retry.NotExecuted {
		e.server.stats.refused.Inc(1)
		e.server.stats.refusal.RecordDuration(time.Since(e.startedAt))
		e.w.Header().Set("Retry-After", "1")
		refuse(e.w, http.StatusServiceUnavailable, cmd.Reason)
		return
	}
	status := http.StatusGatewayTimeout
	if e.body.tooLarge.Load() {
		status = http.StatusRequestEntityTooLarge
	}
	e.server.stats.unknown.Inc(1)
	e.w.Header().Set(HeaderOutcome, "unknown")
	e.w.Header().Set(HeaderReason, cmd.Reason)
	http.Error(e.w, "the request may have run: "+cmd.Reason, status)
}
