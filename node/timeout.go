package node

import (
	"context"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/ledger"
)

const (
	// _queryTimeout exceeds the round-trip time between regions.
	_queryTimeout = 300 * time.Millisecond
	// _acknowledgeTimeout is how long an owner may take to acknowledge an attempt.
	// It exceeds the round-trip time between regions plus the scheduling delay of a
	// busy owner.
	_acknowledgeTimeout = 150 * time.Millisecond
	// _maxQueryInterval bounds the time between two queries about an attempt that runs, and
	// so how late a response that was lost is noticed.
	_maxQueryInterval = 2 * time.Second
	// _responseMargin is how long a response that the owner has sent may take to arrive.
	_responseMargin = 50 * time.Millisecond
)

// responseWatch watches an attempt that has no response yet.
type responseWatch struct {
	mu        sync.Mutex
	timer     *time.Timer
	stopped   bool
	reason    string
	deadConns bool
}

// watchResponse queries the owner, over a new connection, if the attempt is not
// acknowledged in time or stays without a response.
func (e *exchange) watchResponse(ctx context.Context, model call.Model, res *attemptResult) *responseWatch {
	w := &responseWatch{}
	pace := newQueryPace(res.choice.Load.Latency)
	firstCheck := true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(_acknowledgeTimeout, func() {
		first := firstCheck
		firstCheck = false
		switch {
		case ctx.Err() != nil:
		case res.transportSends.Load() == 0:
			w.reset(_acknowledgeTimeout)
		case first && res.acked.Load():
			w.reset(pace.interval)
		default:
			if next, ok := e.checkAttempt(ctx, model, res, w, &pace); ok {
				w.reset(next)
			}
		}
	})
	return w
}

// queryPace spaces the queries about an acknowledged attempt without a response.
type queryPace struct{ interval time.Duration }

// newQueryPace returns the pace for an instance of a latency, 0 if unknown.
func newQueryPace(latency time.Duration) queryPace {
	return queryPace{interval: min(max(_minSilenceTimeout, _silenceLatencyFactor*latency), _maxQueryInterval)}
}

// slowed returns the pace after the owner has said that the attempt runs. At an instance of
// unknown latency, the first interval says nothing of how long the work takes.
func (p queryPace) slowed() queryPace {
	return queryPace{interval: min(2*p.interval, _maxQueryInterval)}
}

// checkAttempt queries the owner and returns the delay until the next query, or
// false if the attempt is no longer watched. An attempt that is not acknowledged is
// revoked: if its owner has not started it, it can be sent again at once.
func (e *exchange) checkAttempt(ctx context.Context, model call.Model, res *attemptResult, w *responseWatch, pace *queryPace) (time.Duration, bool) {
	acked := res.acked.Load()
	status, reached := e.server.queryAttempt(ctx, res, !acked)
	state := status.State
	if res.acked.Load() != acked {
		return pace.interval, true
	}
	if reached && (state == ledger.Finished || state == ledger.Canceled) && w.awaitResponse(ctx) {
		return 0, false
	}
	next := pace.interval
	if reached && state == ledger.Running {
		*pace = pace.slowed()
		next = pace.interval
	}
	_, cmds := model.Update(call.StatusMsg{Reached: reached, State: state, Acked: acked})
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case call.WaitCmd:
			if cmd.Unreachable {
				e.markOwnerUnreachable(res)
			}
			if cmd.AskSoon {
				next = _acknowledgeTimeout
			}
		case call.AbandonCmd:
			res.recovered.Store(status.Response)
			res.revoked.Store(cmd.NotRun)
			e.abandon(res, cmd, w)
			return 0, false
		}
	}
	return next, true
}

// abandon cancels the attempt and drops its connections or avoids its owner, as the
// command says.
func (e *exchange) abandon(res *attemptResult, cmd call.AbandonCmd, w *responseWatch) {
	if cmd.DeadConns {
		e.server.stats.silent.Inc(1)
		e.server.ownerConns.dropConns(res.choice.Candidate.Addr)
	}
	if cmd.Unreachable {
		e.markOwnerUnreachable(res)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.reason = cmd.Reason
	w.deadConns = cmd.DeadConns
	res.cancel()
}

// awaitResponse waits _responseMargin for a response that the owner has sent, and
// reports whether the watch was stopped by then.
func (w *responseWatch) awaitResponse(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-time.After(_responseMargin):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *responseWatch) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(timeout)
	}
}

// stop ends the watch. It returns why the attempt was abandoned, if it was, and
// whether its connections are dead, so that the instance may be tried again over
// a new one.
func (w *responseWatch) stop() (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.reason, w.deadConns
}
