package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/trust"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_stallFactor          = 8
	_minStallQuick        = 500 * time.Millisecond
	_minStallSure         = 2 * time.Second
	_bodyTimeSmoothing    = 0.2
	_typicalTimeSmoothing = 0.1
	// _probeCountInterval is the minimum time between two probe results that count
	// towards an ejection. Failures of a few seconds are left to the breaker, longer
	// ones lead to an ejection.
	_probeCountInterval = time.Second
)

// workOutcome is how a request at an instance ended.
type workOutcome uint8

const (
	workDone workOutcome = iota
	workFailed
	workCanceled
)

// outcomeOf classifies a request that ended with an error. It counts as a failure of
// the instance unless the caller ended it, used up its time or set a deadline too
// short.
func outcomeOf(ctx context.Context, err error, w *work) workOutcome {
	if errors.Is(ctx.Err(), context.Canceled) && errors.Is(err, context.Canceled) {
		return workCanceled
	}
	if w.uploadFailed.Load() {
		return workCanceled
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && (w.callerWasSlow() || w.hadShortDeadline()) {
		return workCanceled
	}
	return workFailed
}

// startWork records a started request at its instance. The transport is nil if the
// instance is unknown.
func (s *Server) startWork(id string, ref ledger.Ref, fingerprint uint64, median time.Duration, request string, once bool) (*http.Transport, string, *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil {
		return nil, "", nil
	}
	w := newWork(fingerprint, b.stallTimeout(b.health.Median()), s.now)
	w.typicalTime = max(b.typicalTime, median)
	w.probe = b.breaker.Suspects(s.now())
	w.kindMedian = median
	w.request = request
	w.once = once
	b.inFlight[ref] = w
	if w.probe {
		s.tickWithinLocked(_tickInterval)
	} else {
		s.tickWithinLocked(_busyTickInterval)
	}
	return b.transport(once), b.instance.Addr, w
}

// finishWork removes a request from its instance's record and reports its outcome to
// the breaker and the health model.
func (s *Server) finishWork(id string, ref ledger.Ref, outcome workOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || b.inFlight[ref] == nil {
		return
	}
	w := b.inFlight[ref]
	if outcome == workDone {
		b.typicalTime = smooth(b.typicalTime, w.instanceTime())
		b.durations = b.durations.With(w.instanceTime())
		s.recentSuccesses.Add(w.fingerprint, s.now())
		s.testifySoon(w.fingerprint)
	}
	delete(b.inFlight, ref)
	s.recordBodyTimeLocked(b, w)
	excused := outcome != workCanceled && s.recordResultLocked(b, w, outcome == workFailed)
	if excused {
		// Neither a success nor a failure of the instance.
		s.updateHealthLocked(b, detect.CancelMsg{At: s.now(), Elapsed: w.instanceTime(), Median: w.kindMedian})
		return
	}
	if outcome == workCanceled {
		if w.probe {
			s.updateGateBreakerLocked(b, false) // the probe was inconclusive: allow another
		}
		s.updateHealthLocked(b, detect.CancelMsg{At: s.now(), Elapsed: w.instanceTime(), Median: w.kindMedian})
		return
	}
	if w.probe && !b.countsProbe(s.now()) {
		return
	}
	s.updateHealthLocked(b, detect.ResultMsg{At: s.now(), Latency: w.instanceTime(), Failed: outcome == workFailed, Median: w.kindMedian})
}

// checkBreaker reports whether the instance's breaker rejects a request, since the
// instance has failed recently and another one could serve it. It also returns how
// long a rejected request should stay away.
func (s *Server) checkBreaker(id string, r trust.Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil {
		return 0, false
	}
	r.At = s.now()
	r.Probes = b.runningProbes()
	return b.breaker.RetryAfter(r), !b.breaker.Admits(r)
}

// smooth returns the exponential moving average after a new value.
func smooth(average, took time.Duration) time.Duration {
	if average == 0 {
		return took
	}
	return average + time.Duration(_typicalTimeSmoothing*float64(took-average))
}

// countsProbe reports whether another probe result counts towards an ejection. Probes
// are more frequent under more load without being more conclusive.
func (b *backend) countsProbe(at time.Duration) bool {
	if at < b.probeCountedAt+_probeCountInterval {
		return false
	}
	b.probeCountedAt = at
	return true
}

// runningProbes returns the number of probes in flight whose outcome is open.
func (b *backend) runningProbes() int {
	n := 0
	for _, w := range b.inFlight {
		if w.probe && !w.outlived {
			n++
		}
	}
	return n
}

// recordResultLocked reports a request's result to the breaker. A failure that a
// failed nested call explains doesn't count against the instance; it returns whether this
// is one.
func (s *Server) recordResultLocked(b *backend, w *work, failed bool) bool {
	excused := failed && s.nestedFailures.take(w.startedAt, s.now())
	if failed {
		s.log.Info("request failed at instance", slog.String("request", w.request), slog.String("instance", b.instance.ID),
			slog.Duration("took", w.instanceTime()), slog.Bool("excused", excused),
			slog.Bool("doubted", b.breaker.Suspects(s.now())), slog.Bool("once", w.once))
	}
	switch {
	case excused && w.probe:
		s.updateGateBreakerLocked(b, false) // the probe was inconclusive: allow another
	case excused:
	case failed || !w.outlived:
		s.updateBreakerLocked(b, trust.ResultMsg{
			At: s.now(), Failed: failed, Latency: w.instanceTime(), StartedAt: w.startedAt, Typical: w.typicalTime,
		})
	}
	return excused
}

// updateBreakerLocked updates an instance's breaker and passes its state to the gate.
func (s *Server) updateBreakerLocked(b *backend, msg trust.Msg) {
	b.breaker = b.breaker.Update(msg)
	if b.breaker.Suspects(s.now()) && len(b.inFlight) > 0 {
		s.tickWithinLocked(_tickInterval)
	}
	s.updateGateBreakerLocked(b, b.breaker.ProbeFailed())
}

// updateGateBreakerLocked passes the state of an instance's breaker to the gate, and
// whether to refuse the requests in its queue.
func (s *Server) updateGateBreakerLocked(b *backend, refuseQueued bool) {
	from, until := b.breaker.ProbeWindow()
	s.updateGateLocked(gate.BreakerMsg{ID: b.instance.ID, ProbeAt: from, Until: until, RefuseQueued: refuseQueued, At: s.now()})
}

// countOutlivedLocked counts the running probes that have outlived the instance's
// failures as successes.
func (s *Server) countOutlivedLocked(b *backend) {
	for _, w := range b.inFlight {
		if w.probe && !w.outlived && b.breaker.Outlives(w.instanceTime()) {
			w.outlived = true
			s.updateBreakerLocked(b, trust.OutlivedMsg{At: s.now()})
			s.log.Info("probe outlived failures", slog.String("request", w.request), slog.String("instance", b.instance.ID),
				slog.Duration("ran", w.instanceTime()), slog.Bool("doubted", b.breaker.Suspects(s.now())))
		}
	}
}

// applyHint passes an ingress's statistics of the whole service to the health model.
func (s *Server) applyHint(id string, h route.Hint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.backends[id]; b != nil {
		s.updateHealthLocked(b, detect.StatsMsg{At: s.now(), Median: h.Median, BodyTimePerMiB: h.BodyTimePerMiB, FailingShare: h.FailingShare})
	}
}

// checkBackends updates the health of all instances: it counts outlived probes and
// stalls, and lets ejections expire.
func (s *Server) checkBackends() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		s.countOutlivedLocked(b)
		for _, w := range b.inFlight {
			if w.stalled(b.stallTimeout(b.health.Median())) {
				s.updateHealthLocked(b, detect.StallMsg{At: s.now()})
			}
			s.recordBodyTimeLocked(b, w)
		}
		s.updateHealthLocked(b, detect.ClockMsg{At: s.now()})
	}
}

// recordBodyTimeLocked passes a request's body time to the health model once it is known.
func (s *Server) recordBodyTimeLocked(b *backend, w *work) {
	perMiB, ok := w.takeBodyTime()
	if !ok {
		return
	}
	if b.bodyTimePerMiB == 0 {
		b.bodyTimePerMiB = perMiB
	}
	b.bodyTimePerMiB += time.Duration(_bodyTimeSmoothing * float64(perMiB-b.bodyTimePerMiB))
	s.updateHealthLocked(b, detect.BodyTimeMsg{At: s.now(), PerMiB: perMiB})
}

// stallTimeout returns how long a request may make no progress before it counts as
// stalled.
func (b *backend) stallTimeout(median time.Duration) time.Duration {
	minStall := _minStallSure
	if b.patience == spec.Quick {
		minStall = _minStallQuick
	}
	return max(minStall, _stallFactor*median)
}

func (s *Server) updateHealthLocked(b *backend, msg detect.Msg) {
	model, cmds := b.health.Update(msg)
	b.health = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case detect.EjectCmd:
			go s.eject(b, cmd)
		case detect.RestoreCmd:
			b.ejectedRev = 0
			s.updateGateLocked(gate.RestoreMsg{ID: b.instance.ID, At: s.now()})
			go s.restore(b)
		}
	}
}

// eject asks the control hosts to eject an instance. The ejection here counts from
// before the call, so that it ends before the one that they granted.
func (s *Server) eject(b *backend, cmd detect.EjectCmd) {
	ctx := context.Background()
	asked := s.now()
	result, err := s.submit(ctx, place.FleetGroup, store.EjectInstance{
		Key: s.keyOf(b), Epoch: s.epoch.Load(), TTL: cmd.Duration,
	})
	granted, ok := result.(store.EjectionGranted)
	if err != nil || !ok {
		s.ejectionDenied(b, cmd, result, err)
		return
	}
	s.mu.Lock()
	s.stats.ejections.Inc(1)
	s.log.Warn("instance ejected", slog.String("instance", b.instance.ID), slog.String("reason", string(cmd.Reason)),
		slog.Duration("hold", cmd.Duration), slog.Int("left", granted.Remaining))
	s.updateHealthLocked(b, detect.GrantMsg{At: asked})
	s.updateGateLocked(gate.EjectMsg{ID: b.instance.ID, Until: asked + cmd.Duration})
	b.ejectedRev = granted.Rev
	s.mu.Unlock()
	// The view may show the end of the ejection before the reply that grants it.
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration)
	defer cancel()
	s.viewSync.withModel(ctx, func(m gossip.Model) { s.endEjections(m.View()) })
}

func (s *Server) ejectionDenied(b *backend, cmd detect.EjectCmd, result store.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.denied.Inc(1)
	s.log.Warn("ejection denied", slog.String("instance", b.instance.ID),
		slog.String("reason", string(cmd.Reason)), slog.Any("result", result), slog.Any("error", err))
	refused, _ := result.(store.EjectionRefused)
	s.updateHealthLocked(b, detect.DenyMsg{At: s.now(), RetrySoon: refused.Reason == floor.Unconfirmed})
}

// endEjections returns the instances to service whose ejection the arbiter has ended
// before its time.
func (s *Server) endEjections(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		if !b.health.Ejected() || b.ejectedRev == 0 || v.Rev < b.ejectedRev || v.Ejected(s.keyOf(b)) {
			continue
		}
		b.ejectedRev = 0
		s.log.Warn("ejection ended by the arbiter", slog.String("instance", b.instance.ID), slog.Uint64("rev", v.Rev))
		s.updateHealthLocked(b, detect.RestoredMsg{At: s.now()})
		s.updateGateLocked(gate.RestoreMsg{ID: b.instance.ID, At: s.now()})
	}
}

func (s *Server) restore(b *backend) {
	_, err := s.submit(context.Background(), place.FleetGroup, store.RestoreInstance{Key: s.keyOf(b), Epoch: s.epoch.Load()})
	s.log.Info("instance restored", slog.String("instance", b.instance.ID), slog.Any("error", err))
}

func (s *Server) keyOf(b *backend) view.Key {
	return s.instanceKey(b.instance.ID)
}

// instanceKey returns the key of an instance on this host.
func (s *Server) instanceKey(id string) view.Key {
	return view.Key{Node: s.cfg.Settings.Name, ID: id}
}

// serviceOf returns the service of an instance on this host, or an empty string.
func (s *Server) serviceOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.backends[id]; b != nil {
		return b.instance.Service
	}
	return ""
}
