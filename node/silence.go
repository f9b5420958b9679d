package node

import (
	"context"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/route"
)

const (
	_inquiryTimeout = 500 * time.Millisecond
	_answerMargin   = 50 * time.Millisecond

	_connSilent = "connection silent"
	_pathCut    = "owner unreachable"
)

// silence watches an attempt that has no answer yet.
type silence struct {
	mu     sync.Mutex
	timer  *time.Timer
	over   bool
	reason string
}

// watchSilence asks the owner, over a new connection, about an attempt that
// stays without an answer: when the owner never had it, or has answered it
// long ago, the old connections are dead and the attempt is given up.
func (e *exchange) watchSilence(
	ctx context.Context, ref ledger.Ref, res *result, giveUp context.CancelFunc,
) *silence {
	w := &silence{}
	patience := e.silentAfter(res)
	w.timer = time.AfterFunc(patience, func() { e.checkSilence(ctx, ref, res, w, patience, giveUp) })
	return w
}

func (e *exchange) silentAfter(res *result) time.Duration {
	return max(_silentLeast, _silentFactor*res.choice.Load.Took)
}

func (e *exchange) checkSilence(
	ctx context.Context, ref ledger.Ref, res *result, w *silence, patience time.Duration, giveUp context.CancelFunc,
) {
	if ctx.Err() != nil {
		return
	}
	state, reached := e.server.inquire(ctx, ref, res, false)
	addr := res.choice.Candidate.Addr
	switch {
	case !reached && !e.match.Route.Once:
		w.end(_pathCut, giveUp)
	case reached && state == ledger.Absent:
		e.server.stats.silent.Inc(1)
		e.server.paths.doubt(addr)
		w.end(_connSilent, giveUp)
	case reached && state == ledger.Finished && w.waited(ctx):
		e.server.stats.silent.Inc(1)
		e.server.paths.doubt(addr)
		w.end(_connSilent, giveUp)
	default:
		w.again(patience)
	}
	if reached {
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	until := e.server.now() + _pathBlock
	e.service.book.Change(res.choice.Candidate.Key, func(l *route.Load) { l.Blocked = until })
}

// waited gives an answer that is on its way a moment to arrive.
func (w *silence) waited(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(_answerMargin):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.over
}

func (w *silence) end(reason string, giveUp context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	w.reason = reason
	giveUp()
}

func (w *silence) again(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.timer.Reset(patience)
	}
}

// stop ends the watch and returns why the attempt was given up, if it was.
func (w *silence) stop() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
	return w.reason
}
