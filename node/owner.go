package node

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/calls"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/seek"
	"github.com/damaskpitch/damaskpitch/spread"
	"github.com/damaskpitch/damaskpitch/trust"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_reasonEpoch  = "epoch"
	_reasonStop   = "stopping"
	_reasonBudget = "too many repeats"
	// _queueShare is the part of the time left that an attempt may wait: what
	// starts later is not finished in time.
	_queueShare = 0.7
)

// peerHandler serves other nodes and control hosts.
func (s *Server) peerHandler() http.Handler {
	rpc := wire.Serve(s.cfg.Settings.Key, proto.Codec, s.handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(_headerAttempt) == "" {
			rpc.ServeHTTP(w, r)
			return
		}
		s.serveAttempt(w, r)
	})
}

func (s *Server) handle(ctx context.Context, msg any) (any, error) {
	switch msg := msg.(type) {
	case proto.AttemptQuery:
		return s.answerInquiry(msg), nil
	case proto.RelayQuery:
		return s.queryOwner(ctx, msg.Addr, msg.Query)
	case proto.Pull:
		var delta proto.Delta
		if !s.follow.withModel(ctx, func(m spread.Model) { delta = m.HandlePull(msg) }) {
			return nil, ctx.Err()
		}
		return delta, nil
	case proto.Probe:
		_, err := s.call(ctx, msg.Addr, proto.Hello{})
		return proto.ProbeReply{Reached: err == nil}, nil
	case proto.Hello:
		return proto.HelloReply{Name: s.cfg.Settings.Name, ID: s.epoch.Load()}, nil
	case proto.TakeOver:
		return s.handOver(ctx)
	}
	return nil, errors.Newf("unexpected message %T", msg)
}

func (s *Server) answerInquiry(msg proto.AttemptQuery) proto.AttemptStatus {
	if msg.Owner != s.epoch.Load() {
		return proto.AttemptStatus{State: ledger.Forgotten}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !msg.Revoke {
		return proto.AttemptStatus{State: s.gate.State(msg.Attempt)}
	}
	for _, cmd := range s.tellLocked(gate.RevokeMsg{ID: msg.Instance, Ref: msg.Attempt, At: s.now()}) {
		if fate, ok := cmd.(gate.RevokeResultCmd); ok {
			return proto.AttemptStatus{State: fate.State}
		}
	}
	return proto.AttemptStatus{State: ledger.Forgotten}
}

// serveAttempt is the gate before an instance: it runs an attempt or proves
// that it never will.
func (s *Server) serveAttempt(w http.ResponseWriter, r *http.Request) {
	secret := []byte(r.Header.Get(_headerSecret))
	if subtle.ConstantTimeCompare(secret, []byte(s.cfg.Settings.Key)) != 1 {
		http.Error(w, "wrong key", http.StatusUnauthorized)
		return
	}
	ref, err := parseRef(r.Header.Get(_headerAttempt))
	left, ok := parseMillis(r.Header.Get(_headerTimeLeft))
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
		s.hint(r.Header.Get(_headerInstance), hint)
	}
	if s.stopping.Load() && s.cfg.Settings.Stop > 0 {
		s.notRun(w, _reasonStop)
		return
	}
	job := &job{server: s, w: w, r: r, ref: ref, id: r.Header.Get(_headerInstance), left: left, until: time.Now().Add(left)}
	job.serve()
}

// reached says that the instance itself refused the attempt.
func (j *job) reached(reason string) {
	j.w.Header().Set(_headerReachedInstance, "1")
	j.server.notRun(j.w, reason)
}

func (s *Server) notRun(w http.ResponseWriter, reason string) {
	w.Header().Set(_headerExecution, string(retry.NotExecuted))
	w.Header().Set(HeaderReason, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// job is one attempt at the owner.
type job struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	ref    ledger.Ref
	id     string
	left   time.Duration
	until  time.Time // the caller's deadline
}

func (j *job) serve() {
	ctx, cancel := context.WithTimeout(j.r.Context(), j.left)
	defer cancel()
	if again, yes := j.server.doubts(j.id, j.trial()); yes && !j.insists() {
		j.shun(again)
		return
	}
	repeat := j.r.Header.Get(_headerRetry) != ""
	if repeat && !j.server.repeats(j.id, true) {
		j.setLoadHeaders()
		j.server.notRun(j.w, _reasonBudget)
		return
	}
	came := time.Now()
	switch cmd := j.admit(ctx).(type) {
	case gate.StartCmd:
		j.server.stats.wait.RecordDuration(time.Since(came))
		if !repeat {
			j.server.repeats(j.id, false)
		}
		j.run(ctx)
	case gate.RefuseCmd:
		if cmd.Reason == gate.RecentFailures {
			again, _ := j.server.doubts(j.id, j.trial())
			j.shun(again)
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

// trial describes the attempt to the instance's trust.
func (j *job) trial() trust.Request {
	return trust.Request{Once: j.careful(), OthersFull: !j.glances()}
}

// shun refuses the attempt since the instance has failed lately.
func (j *job) shun(again time.Duration) {
	j.setLoadHeaders()
	j.w.Header().Set(_headerAvoidFor, formatMillis(again))
	j.server.notRun(j.w, string(gate.RecentFailures))
}

// careful reports whether the attempt must not fail.
func (j *job) careful() bool {
	return j.r.Header.Get(_headerFinalAttempt) != ""
}

// insists reports whether the ingress has no other instance left.
func (j *job) insists() bool {
	return j.r.Header.Get(_headerAdmission) == string(seek.AdmitAny)
}

// glances reports whether the ingress asks for an instance that can take the
// request at once.
func (j *job) glances() bool {
	return j.r.Header.Get(_headerAdmission) == string(seek.AdmitIfFree)
}

// acknowledge tells the ingress that the attempt has come, unless its answer
// does at once: what is not acknowledged was lost on the way.
func (j *job) acknowledge(cmds []gate.Cmd) {
	for _, cmd := range cmds {
		if _, refused := cmd.(gate.RefuseCmd); refused {
			return
		}
	}
	j.w.WriteHeader(http.StatusProcessing)
}

// turn returns whose turn the attempt waits for: callers have turns of their
// own, but attempts with a target go by that.
func (j *job) turn() string {
	if j.r.Header.Get(_headerTarget) != "" {
		return ""
	}
	return j.r.Header.Get(HeaderCaller)
}

// wait returns how long the attempt waits here for a slot.
func (j *job) wait() time.Duration {
	most := time.Duration(_queueShare * float64(j.left))
	return min(most, j.millis(_headerMaxWait, most))
}

// hold returns how long the attempt waits for a slot, here or elsewhere.
func (j *job) hold() time.Duration {
	most := time.Duration(_queueShare * float64(j.left))
	return min(most, j.millis(_headerWaitLeft, most))
}

// millis returns the time in a header, or another one where it tells none.
func (j *job) millis(header string, other time.Duration) time.Duration {
	if told, ok := parseMillis(j.r.Header.Get(header)); ok && told > 0 {
		return told
	}
	return other
}

// soon returns until when the attempt must start to meet its target, or 0.
func (j *job) soon() time.Duration {
	target, ok := parseMillis(j.r.Header.Get(_headerTarget))
	if !ok {
		return 0
	}
	hint, _ := parseHint(j.r.Header.Get(_headerHint))
	return j.server.now() + target - hint.Median
}

func (j *job) number(header string) int {
	n, err := strconv.Atoi(j.r.Header.Get(header))
	if err != nil {
		return 0
	}
	return n
}

// admit waits for the gate's decision.
func (j *job) admit(ctx context.Context) gate.Cmd {
	s := j.server
	decided := make(chan gate.Cmd, 1)
	s.mu.Lock()
	_, taken := s.waiting[j.ref]
	if !taken {
		s.waiting[j.ref] = decided
	}
	route := j.r.Header.Get(_headerRoute)
	s.calls = s.calls.Update(calls.RequestMsg{Route: route, Origin: j.r.Header.Get(_headerCallerService)})
	cmds := s.tellLocked(gate.AdmitMsg{
		ID:          j.id,
		Ref:         j.ref,
		Caller:      j.turn(),
		At:          s.now(),
		StartBy:     s.now() + j.wait(),
		LatestStart: s.now() + j.hold(),
		NoQueue:     j.glances(),
		Priority:    j.number(_headerPriority),
		TargetStart: j.soon(),

		NoProbe:       j.careful(),
		BypassBreaker: j.insists(),
		Nested:        s.calls.IsInternal(route),
	})
	for _, cmd := range cmds {
		if doubt, ok := cmd.(gate.DuplicateCmd); ok {
			if !taken {
				delete(s.waiting, j.ref)
			}
			s.mu.Unlock()
			return doubt
		}
	}
	s.mu.Unlock()
	j.acknowledge(cmds)
	select {
	case cmd := <-decided:
		return cmd
	case <-ctx.Done():
		s.tell(gate.RevokeMsg{ID: j.id, Ref: j.ref, At: s.now()})
		return <-decided
	}
}

// run sends the attempt to the instance; it is on record as started.
func (j *job) run(ctx context.Context) {
	s := j.server
	s.stats.started.Inc(1)
	mark, _ := strconv.ParseUint(j.r.Header.Get(_headerDigest), 16, 64)
	hint, _ := parseHint(j.r.Header.Get(_headerHint))
	transport, addr, w := s.begin(j.id, j.ref, mark, hint.Median,
		j.r.Header.Get(s.names.RequestID), j.r.Header.Get(_headerOnce) != "")
	defer func() { s.tell(gate.DoneMsg{ID: j.id, Ref: j.ref, At: s.now()}) }()
	if transport == nil {
		s.notRun(j.w, string(gate.NoInstance))
		return
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := transport.RoundTrip(j.request(traced, addr, w))
	if err != nil {
		outcome := outcomeOf(ctx, err, w)
		if connected.Load() && outcome == workFailed && s.crashed(ctx, addr) {
			s.reportCrash(j.id)
			err = errCrashed
		}
		s.end(j.id, j.ref, outcome)
		j.respondNoAnswer(connected.Load(), err)
		return
	}
	defer response.Body.Close()
	if reason := s.notRunReason(response); reason != "" {
		s.end(j.id, j.ref, workCancelled)
		j.setLoadHeaders()
		j.reached(reason)
		return
	}
	if reason := s.responseFault(response, j.r); reason != "" {
		s.end(j.id, j.ref, workFailed)
		j.respondNoAnswer(true, errors.New(reason))
		return
	}
	w.begun()
	s.stats.work.RecordDuration(w.instanceTime())
	j.respond(ctx, response, w)
}

func (j *job) request(ctx context.Context, addr string, w *work) *http.Request {
	u := *j.r.URL
	u.Scheme = "http"
	u.Host = addr
	r := &http.Request{
		Method:        j.r.Method,
		URL:           &u,
		Host:          j.r.Host,
		Header:        forwardableHeader(j.r.Header),
		Body:          upload{ReadCloser: j.r.Body, work: w},
		ContentLength: j.r.ContentLength,
	}
	if r.ContentLength == 0 {
		r.Body = http.NoBody
	}
	names := j.server.names
	r.Header.Set(names.TimeLeft, formatMillis(time.Until(j.until)))
	if names.CallerService != "" {
		r.Header.Set(names.CallerService, j.r.Header.Get(_headerCallerService))
	}
	if names.ExpectInstance != "" {
		r.Header.Set(names.ExpectInstance, j.id)
	}
	return r.WithContext(ctx)
}
