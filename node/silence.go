package node

import (
	"context"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/trip"
)

const (
	// _inquiryTimeout is beyond the round trip between regions.
	_inquiryTimeout = 300 * time.Millisecond
	// _ackTimeout is how long an owner may take to say that it has an attempt:
	// beyond the round trip between regions and a busy owner's turn.
	_ackTimeout   = 150 * time.Millisecond
	_answerMargin = 50 * time.Millisecond
)

// silence watches an attempt that has no answer yet.
type silence struct {
	mu     sync.Mutex
	timer  *time.Timer
	over   bool
	reason string
	doubt  bool
}

// watchSilence asks the owner, over a new connection, about an attempt that is
// not acknowledged soon, or stays without an answer.
func (e *exchange) watchSilence(ctx context.Context, model trip.Model, res *result) *silence {
	w := &silence{}
	first := true
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(_ackTimeout, func() {
		early := first
		first = false
		switch {
		case ctx.Err() != nil:
		case res.copies.Load() == 0:
			w.again(_ackTimeout)
		case early && res.acked.Load():
			w.again(res.patience())
		default:
			if next, ok := e.quiet(ctx, model, res, w); ok {
				w.again(next)
			}
		}
	})
	return w
}

// patience returns how long an acknowledged attempt may stay without an answer
// before its owner is asked.
func (r *result) patience() time.Duration {
	return max(_silentLeast, _silentFactor*r.choice.Load.Latency)
}

// quiet takes the owner's word and returns when to ask again, or false if the
// wait is over. An attempt that is not acknowledged is forbidden: where its
// owner never got it, it can be sent again at once.
func (e *exchange) quiet(ctx context.Context, model trip.Model, res *result, w *silence) (time.Duration, bool) {
	acked := res.acked.Load()
	state, reached := e.server.inquire(ctx, res, !acked)
	if res.acked.Load() != acked {
		return res.patience(), true
	}
	if reached && (state == ledger.Finished || state == ledger.Canceled) && w.answered(ctx) {
		return 0, false
	}
	next := res.patience()
	_, cmds := model.Update(trip.StatusMsg{Reached: reached, State: state, Acked: acked})
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case trip.WaitCmd:
			if cmd.Unreachable {
				e.blockPath(res)
			}
			if cmd.AskSoon {
				next = _ackTimeout
			}
		case trip.AbandonCmd:
			res.revoked.Store(cmd.NotRun)
			e.giveUp(res, cmd, w)
			return 0, false
		}
	}
	return next, true
}

func (e *exchange) giveUp(res *result, cmd trip.AbandonCmd, w *silence) {
	if cmd.DeadConns {
		e.server.stats.silent.Inc(1)
		e.server.paths.doubt(res.choice.Candidate.Addr)
	}
	if cmd.Unreachable {
		e.blockPath(res)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over {
		return
	}
	w.reason = cmd.Reason
	w.doubt = cmd.DeadConns
	res.cancel()
}

// answered gives an answer that is on its way a moment to arrive.
func (w *silence) answered(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-time.After(_answerMargin):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *silence) again(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.over {
		w.timer.Reset(patience)
	}
}

// stop ends the watch and returns why the attempt was given up, if it was, and
// whether the instance may be tried again over another connection.
func (w *silence) stop() (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
	return w.reason, w.doubt
}
