package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/retry"
)

// resultRank orders attempts by how much the caller learns from their outcome,
// from not run to a successful response.
type resultRank uint8

const (
	rankNotRun resultRank = iota
	rankMayHaveRun
	rankFailed
	rankAnswered
)

// rank returns how much the caller learns from the outcome of the attempt.
func (r *attemptResult) rank() resultRank {
	switch {
	case r.response == nil && !r.maybeSent, r.execution == retry.NotExecuted && r.transportSends.Load() <= 1:
		return rankNotRun
	case r.execution != retry.Executed:
		return rankMayHaveRun
	case isServerFailure(r.response):
		return rankFailed
	default:
		return rankAnswered
	}
}

// sendHedged sends the first attempt and, if there is no response after the
// delay, a second one to another instance. The first successful response wins
// and the other attempt is canceled.
func (e *exchange) sendHedged(ctx context.Context, first *attemptResult, delay time.Duration) *attemptResult {
	results := make(chan *attemptResult, 2)
	running := 0
	start := func(res *attemptResult) {
		running++
		model := e.lifecycle
		go func() {
			e.roundTrip(model, res)
			results <- res
		}()
	}
	start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var best, second *attemptResult
	for {
		select {
		case <-timer.C:
			e.search, _ = e.search.Update(probe.SentMsg{Key: first.choice.Candidate.Key})
			if second = e.startHedge(ctx); second != nil {
				start(second)
			}
		case res := <-results:
			running--
			e.applyResult(res)
			best = betterResult(best, res)
			if best.rank() == rankAnswered || running == 0 {
				if running > 0 {
					e.cancelLoser(best, first, second, results)
				}
				return best
			}
		}
	}
}

// startHedge prepares a second attempt at another instance, or returns nil if the
// retry budget is exhausted or there is no instance.
func (e *exchange) startHedge(ctx context.Context) *attemptResult {
	model, cmds := e.lifecycle.Update(call.LateMsg{})
	if len(cmds) == 0 || !e.takeRetryBudget() {
		return nil
	}
	e.lifecycle = model
	res, ok := e.startAttempt(ctx)
	if !ok {
		return nil
	}
	e.server.stats.hedges.Inc(1)
	e.server.log.Debug("sending a hedged attempt", slog.String("request", e.id), slog.String("instance", res.choice.Candidate.Key.ID))
	return res
}

// betterResult returns the result with the higher rank and closes the other.
func betterResult(a, b *attemptResult) *attemptResult {
	if a == nil {
		return b
	}
	if b.rank() < a.rank() {
		a, b = b, a
	}
	a.close()
	return b
}

// cancelLoser cancels the attempt that is still in flight. When it has ended, its
// latency is recorded and its connection is checked.
func (e *exchange) cancelLoser(best, first, second *attemptResult, results <-chan *attemptResult) {
	loser := first
	if best == first {
		loser = second
	}
	loser.lostRace.Store(true)
	loser.cancel()
	go func() {
		res := <-results
		e.recordLoad(res)
		e.server.checkLoserConns(res)
		res.close()
	}()
}

// checkLoserConns closes the connections to an owner that never received an
// attempt which was sent to it. Otherwise hedged requests would find out only one
// by one that they are dead.
func (s *Server) checkLoserConns(res *attemptResult) {
	if res.response != nil || !res.maybeSent {
		return
	}
	status, reached := s.queryAttempt(context.Background(), res, false)
	if reached && status.State == ledger.Absent {
		s.stats.silent.Inc(1)
		s.ownerConns.dropConns(res.choice.Candidate.Addr)
	}
}
