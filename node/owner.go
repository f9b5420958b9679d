package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/trust"
)

const (
	_reasonEpoch  = "epoch"
	_reasonStop   = "stopping"
	_reasonBudget = "too many repeats"
	// _maxQueueShare is the share of the remaining time that an attempt may wait for a
	// slot. An attempt that starts later would not finish in time.
	_maxQueueShare = 0.7
)

// serveAttempt handles an attempt from an ingress: it runs the attempt at an instance,
// or guarantees that the attempt never runs.
func (s *Server) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if !s.isPeer(r.Header.Get(_headerSecret)) {
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	ref, err := parseRef(r.Header.Get(_headerAttempt))
	timeLeft, ok := parseMillis(r.Header.Get(_headerTimeLeft))
	if err != nil || !ok {
		http.Error(w, "malformed attempt", http.StatusBadRequest)
		return
	}
	w.Header().Set(_headerAttempt, ref.String())
	if r.Header.Get(_headerOwner) != strconv.FormatUint(s.epoch.Load(), 10) {
		w.Header().Set(_headerOwner, strconv.FormatUint(s.epoch.Load(), 10))
		s.notRun(w, _reasonEpoch)
		return
	}
	if hint, ok := parseHint(r.Header.Get(_headerHint)); ok {
		s.applyHint(r.Header.Get(_headerInstance), hint)
	}
	if err := s.fleet.mergeReports(s.serviceOf(r.Header.Get(_headerInstance)), ref.Node, r.Header.Get(_headerReports), s.now()); err != nil {
		s.log.Warn("ignored load reports of an ingress", slog.String("attempt", ref.String()), slog.Any("error", err))
	}
	if rate := r.Header.Get(_headerMaxRate); rate != "" {
		s.adoptMaxRate(r.Header.Get(_headerInstance), rate)
	}
	instance := r.Header.Get(_headerInstance)
	lastStart := s.lastStart(instance)
	if s.now() >= lastStart {
		s.notRun(w, _reasonStop)
		return
	}
	job := &job{server: s, w: w, r: r, ref: ref, instance: instance, timeLeft: timeLeft, deadline: time.Now().Add(timeLeft), lastStart: lastStart, far: r.Header.Get(_headerFar) != ""}
	job.serve()
}

// refusedByInstance replies that the instance itself refused the attempt.
func (j *job) refusedByInstance(reason string) {
	j.w.Header().Set(_headerReachedInstance, "1")
	j.server.notRun(j.w, reason)
}

// notRun replies that the attempt was not run and never will be.
func (s *Server) notRun(w http.ResponseWriter, reason string) {
	s.stats.refusedAttempt(reason)
	if s.isStopping() {
		s.stopCounts.refused.Add(1)
	}
	w.Header().Set(_headerExecution, string(retry.NotExecuted))
	w.Header().Set(HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// job is an attempt that the owner handles.
type job struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	ref      ledger.Ref
	instance string
	timeLeft time.Duration
	deadline time.Time // the caller's deadline
	// lastStart is when the attempt may start at last if this node stops, as far as known.
	lastStart time.Duration
	far       bool   // came from another data centre
	expected  uint64 // response of the instance, for heads.EndResponse
	running   bool   // holds a slot, which is free once the response has been sent
}

func (j *job) serve() {
	ctx, cancel := context.WithTimeout(j.r.Context(), j.timeLeft)
	defer cancel()
	if retryAfter, rejected := j.server.checkBreaker(j.instance, j.breakerRequest()); rejected && !j.admitsAny() {
		j.refuseSuspected(retryAfter)
		return
	}
	share := j.repeatShare()
	if share > _likelyRepeat && !j.server.takeRetryBudget(j.instance, share) {
		j.setLoadHeaders()
		j.server.notRun(j.w, _reasonBudget)
		return
	}
	arrived := time.Now()
	switch cmd := j.admit(ctx).(type) {
	case gate.StartCmd:
		j.server.stats.wait.RecordDuration(time.Since(arrived))
		if share <= _likelyRepeat {
			j.server.takeRetryBudget(j.instance, share)
		}
		j.run(ctx, share)
	case gate.RefuseCmd:
		if cmd.Reason == gate.RecentFailures {
			retryAfter, _ := j.server.checkBreaker(j.instance, j.breakerRequest())
			j.refuseSuspected(retryAfter)
			return
		}
		j.setLoadHeaders()
		j.server.notRun(j.w, string(cmd.Reason))
	case gate.DuplicateCmd:
		j.w.Header().Set(_headerExecution, string(retry.Unknown))
		j.w.Header().Set(HeaderReason, "repeated: "+string(cmd.State))
		j.w.WriteHeader(http.StatusConflict)
	}
}

// breakerRequest returns the attempt as input for the instance's breaker.
func (j *job) breakerRequest() trust.Request {
	return trust.Request{Once: j.noProbe(), OthersFull: !j.onlyIfFree()}
}

// refuseSuspected refuses the attempt because the instance has failed recently.
func (j *job) refuseSuspected(retryAfter time.Duration) {
	j.setLoadHeaders()
	j.w.Header().Set(_headerRefusesFor, formatMillis(retryAfter))
	j.server.notRun(j.w, string(gate.RecentFailures))
}

// noProbe reports whether the attempt must not serve as a probe, since the request
// gets no other attempt.
func (j *job) noProbe() bool {
	return j.r.Header.Get(_headerFinalAttempt) != ""
}

// admitsAny reports whether the ingress has no other instance left, so that the
// breaker is bypassed.
func (j *job) admitsAny() bool {
	return j.r.Header.Get(_headerAdmission) == string(probe.AdmitAny)
}

// onlyIfFree reports whether the attempt must start immediately or be refused.
func (j *job) onlyIfFree() bool {
	return j.r.Header.Get(_headerAdmission) == string(probe.AdmitIfFree)
}

// run sends the attempt to the instance. The gate has recorded it as started; repeatShare
// is the likelihood that it is a repeat.
func (j *job) run(ctx context.Context, repeatShare float64) {
	s := j.server
	j.running = true
	s.stats.started.Inc(1)
	if s.isStopping() {
		s.stopCounts.started.Add(1)
	}
	fingerprint, _ := strconv.ParseUint(j.r.Header.Get(_headerFingerprint), 16, 64)
	hint, _ := parseHint(j.r.Header.Get(_headerHint))
	transport, addr, w := s.startWork(j.instance, j.ref, fingerprint, hint.Median,
		j.r.Header.Get(s.headers.RequestID), j.r.Header.Get(_headerOnce) != "")
	defer func() { s.updateGate(gate.DoneMsg{ID: j.instance, Ref: j.ref, At: s.now()}) }()
	if transport == nil {
		s.notRun(j.w, string(gate.UnknownInstance))
		return
	}
	s.recordRepeatShare(w, repeatShare)
	var connected atomic.Bool
	var conn net.Conn
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			connected.Store(true)
			j.expected = heads.ExpectResponse(conn)
		},
	})
	response, err := transport.RoundTrip(j.request(traced, addr, w))
	heads.EndResponse(conn, j.expected)
	if err != nil {
		outcome := outcomeOf(ctx, err, w)
		if connected.Load() && outcome == workFailed && s.crashed(ctx, addr) {
			s.reportCrash(j.instance, w)
			err = errCrashed
		}
		s.finishWork(j.instance, j.ref, outcome)
		j.respondNoResponse(connected.Load(), err)
		return
	}
	defer response.Body.Close()
	if err := checkHead(response); err != nil {
		// Nothing in it says whether the request ran, or where the response ends.
		_ = conn.Close()
		s.finishWork(j.instance, j.ref, workFailed)
		j.respondNoResponse(true, err)
		return
	}
	if !s.answersRequest(response, j.r) {
		// Neither a refusal nor a success in it says anything about this request, whose
		// own response may still arrive on the connection.
		_ = conn.Close()
		s.finishWork(j.instance, j.ref, workFailed)
		j.respondNoResponse(true, errAnotherRequest)
		return
	}
	if reason := s.notRunReason(response); reason != "" {
		if reason != string(gate.UnknownInstance) {
			s.observeRefusal(j.instance, j.ref, response.Header)
		}
		s.finishWork(j.instance, j.ref, workCanceled)
		j.setLoadHeaders()
		j.refusedByInstance(reason)
		return
	}
	if reason := s.responseFault(response); reason != "" {
		s.finishWork(j.instance, j.ref, workFailed)
		j.respondNoResponse(true, errors.New(reason))
		return
	}
	s.observeNotice(j.instance, j.ref, response.Header)
	w.startResponse()
	s.stats.work.RecordDuration(w.instanceTime())
	j.respond(ctx, response, w)
}

// request returns the attempt's request to the instance.
func (j *job) request(ctx context.Context, addr string, w *work) *http.Request {
	r := &http.Request{
		Method:        j.r.Method,
		URL:           forwardedURL(j.r, addr),
		Host:          j.r.Host,
		Header:        forwardableHeader(j.r.Header),
		Body:          upload{ReadCloser: j.r.Body, work: w},
		ContentLength: j.r.ContentLength,
	}
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
	names := j.server.headers
	r.Header.Set(names.TimeLeft, formatMillis(time.Until(j.deadline)))
	if names.CallerService != "" {
		r.Header.Set(names.CallerService, j.r.Header.Get(_headerCallerService))
	}
	if names.Customer != "" {
		r.Header.Del(names.Customer)
		if customer := j.r.Header.Get(_headerCustomer); customer != "" {
			r.Header.Set(names.Customer, customer)
		}
	}
	if names.ExpectInstance != "" {
		r.Header.Set(names.ExpectInstance, j.instance)
	}
	return r.WithContext(ctx)
}
