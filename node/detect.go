package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/trust"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_stallFactor = 8
	_quickStall  = 500 * time.Millisecond
	_sureStall   = 2 * time.Second
	_paceSmooth  = 0.2
	_tookSmooth  = 0.1
	// _trialEvidence is the least time between two trials that count against an
	// instance: what fails for a few seconds is left to doubt, what fails for
	// longer is ejected.
	_trialEvidence = time.Second
)

// workOutcome is how a request at an instance ended.
type workOutcome uint8

const (
	workDone workOutcome = iota
	workFailed
	workCancelled
)

// outcomeOf blames the instance unless the caller's side ended the request, or
// used up its time.
func outcomeOf(ctx context.Context, err error, w *work) workOutcome {
	if errors.Is(ctx.Err(), context.Canceled) && errors.Is(err, context.Canceled) {
		return workCancelled
	}
	if w.brokeOff.Load() {
		return workCancelled
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && (w.callersFault() || w.hasty()) {
		return workCancelled
	}
	return workFailed
}

// begin puts a started request on the instance's record.
func (s *Server) begin(id string, ref ledger.Ref, mark uint64, median time.Duration, request string, once bool) (*http.Transport, string, *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backs[id]
	if b == nil {
		return nil, "", nil
	}
	w := newWork(mark, b.stall(b.judge.Median()), s.now)
	w.usual = max(b.took, median)
	w.trial = b.trust.Suspects(s.now())
	w.median = median
	w.request = request
	w.once = once
	b.running[ref] = w
	return b.transport(once), b.instance.Addr, w
}

// end takes a request off the instance's record and judges it.
func (s *Server) end(id string, ref ledger.Ref, outcome workOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backs[id]
	if b == nil || b.running[ref] == nil {
		return
	}
	w := b.running[ref]
	if outcome == workDone {
		b.took = smooth(b.took, w.instanceTime())
		s.aboard.Add(w.print, s.now())
	}
	delete(b.running, ref)
	s.judgeBody(b, w)
	if outcome != workCancelled {
		s.trustLocked(b, w, outcome == workFailed)
	}
	if outcome == workCancelled {
		if w.trial {
			s.hold(b, false) // it tells nothing: another one may try
		}
		s.judgeLocked(b, judge.CancelMsg{At: s.now(), Ran: w.instanceTime(), Median: w.median})
		return
	}
	if w.trial && !b.evident(s.now()) {
		return
	}
	s.judgeLocked(b, judge.ResultMsg{At: s.now(), Took: w.instanceTime(), Failed: outcome == workFailed, Median: w.median})
}

// doubts reports whether an instance has failed lately and must not get a
// request that another one could serve.
// For a request that is not admitted, it returns how long to stay away.
func (s *Server) doubts(id string, r trust.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backs[id]
	if b == nil {
		return 0, false
	}
	r.At = s.now()
	r.Probes = b.trials()
	return b.trust.RetryAfter(r), !b.trust.Admits(r)
}

// smooth moves a usual time towards a new one.
func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(_tookSmooth*float64(took-usual))
}

// evident reports whether one more trial counts as evidence: trials crowd where
// requests do, and say no more for that.
func (b *backend) evident(at time.Duration) bool {
	if at < b.evidence+_trialEvidence {
		return false
	}
	b.evidence = at
	return true
}

// trials returns the number of requests that try the instance out.
func (b *backend) trials() int {
	n := 0
	for _, w := range b.running {
		if w.trial && !w.proved {
			n++
		}
	}
	return n
}

// repeats takes a request that may have run before out of the budget for
// those, or counts one that has not.
func (s *Server) repeats(id string, repeat bool) bool {
	share, ok := s.retryQuota()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backs[id]
	if b == nil || !ok {
		return true
	}
	if !repeat {
		b.budget = b.budget.AddRequest(share(b.instance.Service), s.now())
		return true
	}
	var granted bool
	b.budget, granted = b.budget.TakeRetry(share(b.instance.Service), s.now())
	return granted
}

// trustLocked follows how a request ended; an instance does not answer for
// calls of its own that failed elsewhere.
func (s *Server) trustLocked(b *backend, w *work, failed bool) {
	excused := failed && s.excuses.take(s.now())
	if failed {
		s.log.Info("failure", slog.String("request", w.request), slog.String("instance", b.instance.ID),
			slog.Duration("took", w.instanceTime()), slog.Bool("excused", excused),
			slog.Bool("doubted", b.trust.Suspects(s.now())), slog.Bool("once", w.once))
	}
	switch {
	case excused && w.trial:
		s.hold(b, false) // it tells nothing: another one may try
	case excused:
	case failed || !w.proved:
		s.believe(b, trust.ResultMsg{At: s.now(), Failed: failed, Latency: w.instanceTime()})
	}
}

// believe changes how far an instance is trusted; what waits for it follows.
func (s *Server) believe(b *backend, msg trust.Msg) {
	b.trust = b.trust.Update(msg)
	s.hold(b, b.trust.ProbeFailed())
}

// hold tells the gate how far an instance is trusted, and whether to send away
// what waits for it.
func (s *Server) hold(b *backend, away bool) {
	from, until := b.trust.ProbeWindow()
	s.tellLocked(gate.BreakerMsg{ID: b.instance.ID, ProbeAt: from, Until: until, RefuseQueued: away, At: s.now()})
}

// proveTrials counts the trials that have outlived the instance's failures.
func (s *Server) proveTrials(b *backend) {
	for _, w := range b.running {
		if w.trial && !w.proved && b.trust.Outlives(w.instanceTime()) {
			w.proved = true
			s.believe(b, trust.OutlivedMsg{At: s.now()})
			s.log.Info("trial outlives failures", slog.String("request", w.request), slog.String("instance", b.instance.ID),
				slog.Duration("ran", w.instanceTime()), slog.Bool("doubted", b.trust.Suspects(s.now())))
		}
	}
}

// hint takes what an ingress sees of the whole service.
func (s *Server) hint(id string, h route.Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.backs[id]; b != nil {
		s.judgeLocked(b, judge.StatsMsg{At: s.now(), Median: h.Median, Pace: h.BodyTimePerMiB, FailingShare: h.FailureRate})
	}
}

// judgeAll counts stalls and lets holds run out.
func (s *Server) judgeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backs {
		s.proveTrials(b)
		for _, w := range b.running {
			if w.stalled(b.stall(b.judge.Median())) {
				s.judgeLocked(b, judge.StallMsg{At: s.now()})
			}
			s.judgeBody(b, w)
		}
		s.judgeLocked(b, judge.ClockMsg{At: s.now()})
	}
}

// judgeBody takes a request's pace, once it is known.
func (s *Server) judgeBody(b *backend, w *work) {
	pace, ok := w.takePace()
	if !ok {
		return
	}
	if b.pace == 0 {
		b.pace = pace
	}
	b.pace += time.Duration(_paceSmooth * float64(pace-b.pace))
	s.judgeLocked(b, judge.ThroughputMsg{At: s.now(), Pace: pace})
}

func (b *backend) stall(median time.Duration) time.Duration {
	least := _sureStall
	if b.patience == spec.Quick {
		least = _quickStall
	}
	return max(least, _stallFactor*median)
}

func (s *Server) judgeLocked(b *backend, msg judge.Msg) {
	model, cmds := b.judge.Update(msg)
	b.judge = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case judge.EjectCmd:
			go s.eject(b, cmd)
		case judge.RestoreCmd:
			s.tellLocked(gate.RestoreMsg{ID: b.instance.ID, At: s.now()})
			go s.restore(b)
		}
	}
}

// eject asks the arbiter; the hold is counted from before the question, so it
// ends before the arbiter's lease does.
func (s *Server) eject(b *backend, cmd judge.EjectCmd) {
	at := s.now()
	result, err := s.submit(context.Background(), place.FleetGroup, store.EjectInstance{
		Key: s.key(b), Epoch: s.epoch.Load(), TTL: cmd.Duration,
	})
	granted, ok := result.(store.EjectionGranted)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || !ok {
		s.stats.denied.Inc(1)
		s.log.Warn("ejection refused", slog.String("instance", b.instance.ID),
			slog.String("reason", string(cmd.Reason)), slog.Any("result", result), slog.Any("error", err))
		refused, _ := result.(store.EjectionRefused)
		s.judgeLocked(b, judge.DenyMsg{At: s.now(), RetrySoon: refused.Reason == floor.Unconfirmed})
		return
	}
	s.stats.ejections.Inc(1)
	s.log.Warn("ejected", slog.String("instance", b.instance.ID), slog.String("reason", string(cmd.Reason)),
		slog.Duration("hold", cmd.Duration), slog.Int("left", granted.Left))
	s.judgeLocked(b, judge.GrantMsg{At: at})
	s.tellLocked(gate.EjectMsg{ID: b.instance.ID, Until: at + cmd.Duration})
}

func (s *Server) restore(b *backend) {
	_, err := s.submit(context.Background(), place.FleetGroup, store.RestoreInstance{Key: s.key(b), Epoch: s.epoch.Load()})
	s.log.Info("restored", slog.String("instance", b.instance.ID), slog.Any("error", err))
}

func (s *Server) key(b *backend) view.Key {
	return view.Key{Node: s.cfg.Settings.Name, ID: b.instance.ID}
}
