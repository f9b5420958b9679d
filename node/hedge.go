package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/seek"
	"github.com/damaskpitch/damaskpitch/trip"
)

// standing orders what attempts came to, from the least that is known to an
// answer that can be delivered.
type standing uint8

const (
	notRun standing = iota
	mayHaveRun
	failed
	answered
)

func (r *result) standing() standing {
	switch {
	case r.response == nil && !r.sent, r.fate == retry.NotExecuted && r.copies.Load() <= 1:
		return notRun
	case r.fate != retry.Executed:
		return mayHaveRun
	case failedStatus(r.response):
		return failed
	default:
		return answered
	}
}

// race sends the request and, when its answer is late, once more to another
// instance; the first good answer wins, and the other attempt is cancelled.
func (e *exchange) race(ctx context.Context, first *result, after time.Duration) *result {
	results := make(chan *result, 2)
	running := 0
	start := func(res *result) {
		running++
		model := e.trip
		go func() {
			e.send(model, res)
			results <- res
		}()
	}
	start(first)
	late := time.NewTimer(after)
	defer late.Stop()
	var best, second *result
	for {
		select {
		case <-late.C:
			e.seek, _ = e.seek.Update(seek.SentMsg{Key: first.choice.Candidate.Key})
			if second = e.hedge(ctx); second != nil {
				start(second)
			}
		case res := <-results:
			running--
			e.fold(res)
			best = better(best, res)
			if best.standing() == answered || running == 0 {
				if running > 0 {
					e.endRace(best, first, second, results)
				}
				return best
			}
		}
	}
}

// hedge chooses an instance for a second attempt, if the budget allows one.
func (e *exchange) hedge(ctx context.Context) *result {
	model, cmds := e.trip.Update(trip.LateMsg{})
	if len(cmds) == 0 || !e.spend() {
		return nil
	}
	e.trip = model
	res, ok := e.begin(ctx)
	if !ok {
		return nil
	}
	e.server.stats.hedges.Inc(1)
	e.server.log.Debug("hedge", slog.String("request", e.id), slog.String("instance", res.choice.Candidate.Key.ID))
	return res
}

// better returns the result that tells more and ends the other.
func better(a, b *result) *result {
	if a == nil {
		return b
	}
	if b.standing() < a.standing() {
		a, b = b, a
	}
	a.discard()
	return b
}

// endRace cancels the attempt that still runs; what it comes to is noted, and
// whether its connection is dead.
func (e *exchange) endRace(best, first, second *result, results <-chan *result) {
	loser := first
	if best == first {
		loser = second
	}
	loser.beaten.Store(true)
	loser.cancel()
	go func() {
		res := <-results
		e.note(res)
		e.server.doubtBeaten(res)
		res.discard()
	}()
}

// doubtBeaten closes the connections to an owner that never got an attempt
// which was sent to it: hedging would find them dead one by one.
func (s *Server) doubtBeaten(res *result) {
	if res.response != nil || !res.sent {
		return
	}
	state, reached := s.inquire(context.Background(), res, false)
	if reached && state == ledger.Absent {
		s.stats.silent.Inc(1)
		s.paths.doubt(res.choice.Candidate.Addr)
	}
}
