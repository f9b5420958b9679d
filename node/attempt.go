package node

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
)

// attemptResult holds one attempt and its outcome.
type attemptResult struct {
	ref               ledger.Ref
	execution         retry.Execution
	reason            string
	response          *http.Response
	choice            route.Choice
	hint              route.Hint
	tryCmd            probe.TryCmd
	startedAt         time.Time
	ctx               context.Context //nolint:containedctx // canceled when the attempt ends
	cancel            context.CancelFunc
	conn              *flow.Conn   // counts its bytes; nil within a data centre
	maybeSent         bool         // part of the request may have left this process
	transportSends    atomic.Int32 // number of times the transport wrote the request header
	retryIsFree       bool         // a retry does not count against the retry budget
	retrySameInstance bool         // the same instance may be tried again
	revoked           atomic.Bool  // its owner has not run it and never will
	acked             atomic.Bool  // the owner acknowledged it
	// recovered is the response that was fetched after it had been lost on its way.
	recovered atomic.Pointer[proto.StoredResponse]
	netConn   net.Conn    // that the transport uses
	expected  uint64      // response on netConn, for heads.EndResponse
	lostRace  atomic.Bool // another attempt won; how this one ended says nothing of the instance
}

// close releases the response body and the context of the attempt.
func (r *attemptResult) close() {
	if r == nil {
		return
	}
	if r.response != nil {
		_ = r.response.Body.Close()
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// tryInstance sends the request to one instance through its owner, hedged where
// that is allowed. It returns false if there was no instance to try.
func (e *exchange) tryInstance(ctx context.Context) (*attemptResult, bool) {
	res, ok := e.startAttempt(ctx)
	if !ok {
		return nil, false
	}
	if delay, ok := e.hedgeDelay(res); ok {
		return e.sendHedged(ctx, res, delay), true
	}
	e.roundTrip(e.lifecycle, res)
	e.applyResult(res)
	return res, true
}

// hedgeDelay returns how long to wait before sending a hedged attempt, or false
// if the request must not be hedged.
func (e *exchange) hedgeDelay(res *attemptResult) (time.Duration, bool) {
	return retry.HedgeDelay(retry.Attempt{
		Once:          e.match.Route.Once,
		Replayable:    e.body.whole(),
		Attempts:      e.lifecycle.Attempts(),
		Deliveries:    e.lifecycle.Deliveries(),
		MaxDeliveries: e.match.Attempts(),
		TimeLeft:      time.Until(e.deadline),
		Target:        e.match.Target(),
	}, res.hint.Median)
}

// startAttempt chooses an instance and prepares an attempt at it. It returns
// false if there is no instance or the context ends first.
func (e *exchange) startAttempt(ctx context.Context) (*attemptResult, bool) {
	s := e.server
	seq := s.seq.Add(1)
	choice, hint, cmd := e.chooseInstance(seq)
	for pause, ok := cmd.(probe.PauseCmd); ok; pause, ok = cmd.(probe.PauseCmd) {
		if !sleep(ctx, pause.Delay) {
			return nil, false
		}
		choice, hint, cmd = e.chooseInstance(seq)
	}
	try, ok := cmd.(probe.TryCmd)
	if !ok {
		return nil, false
	}
	e.logChoice(ctx, choice)
	s.stats.attempts.Inc(1)
	res := &attemptResult{
		ref:       ledger.Ref{Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Seq: seq},
		choice:    choice,
		hint:      hint,
		tryCmd:    try,
		startedAt: time.Now(),
	}
	e.fingerprint()
	res.ctx, res.cancel = context.WithCancel(ctx)
	return res, true
}

// chooseInstance chooses an instance and counts the attempt as in flight there.
func (e *exchange) chooseInstance(seq uint64) (route.Choice, route.Hint, probe.Cmd) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	choice, cmd := e.chooseInstanceLocked(route.Request{At: e.server.now(), Random: randomBits(seq)})
	try, ok := cmd.(probe.TryCmd)
	if !ok {
		return choice, route.Hint{}, cmd
	}
	e.service.loads.Update(choice.Candidate.Key, func(l *route.Load) { l.InFlight++ })
	e.service.countSentLocked(choice.Candidate.Center)
	hint := route.HintOf(e.service.pool, e.service.loads)
	if e.match.Plan != nil {
		hint.Median = e.service.latencies.Typical(e.match.Plan.Name)
	}
	return choice, hint, try
}

// chooseInstanceLocked runs the search until it finds an instance, stops or
// pauses.
func (e *exchange) chooseInstanceLocked(r route.Request) (route.Choice, probe.Cmd) {
	if r.At >= e.server.stop.Load().LastRequest() {
		return route.Choice{}, probe.StopCmd{}
	}
	model, cmd := e.search.WithNoRetry(e.isFinalAttempt(e.lifecycle)).Update(probe.NextMsg{At: r.At})
	for {
		e.search = model
		try, ok := cmd.(probe.TryCmd)
		if !ok {
			return route.Choice{}, cmd
		}
		r.Tried = try.Exclude
		if choice, ok := chooseWithMode(e.service, r, try.Mode); ok {
			if e.server.isFar(choice.Candidate) {
				e.nearby = route.NearbyOf(e.service.pool, e.service.loads, r, choice.Candidate.Center)
			}
			return choice, cmd
		}
		model, cmd = e.search.Update(probe.NoCandidateMsg{At: r.At, Skipped: route.HasSkipped(e.service.pool, e.service.loads, r)})
	}
}

func chooseWithMode(s *service, r route.Request, mode probe.AdmissionMode) (route.Choice, bool) {
	switch mode {
	case probe.AdmitIfFree:
		return route.ChooseFree(s.pool, s.loads, r)
	case probe.AdmitQueued:
		return route.ChooseShortestWait(s.pool, s.loads, r)
	default:
		return route.ChooseAvoided(s.pool, s.loads, r)
	}
}

// roundTrip sends the attempt and reads the response header. Of the request's state
// it changes only res, since a hedged attempt may run concurrently.
func (e *exchange) roundTrip(model call.Model, res *attemptResult) {
	traced := httptrace.WithClientTrace(res.ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			res.netConn, res.expected = info.Conn, heads.ExpectResponse(info.Conn)
			if counted, ok := flow.ConnOf(info.Conn); ok {
				counted.Begin(flow.Undecided)
				res.conn = counted
			}
		},
		WroteHeaders: func() { res.transportSends.Add(1) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			res.acked.Store(true)
			return nil
		},
	})
	watch := e.watchResponse(res.ctx, model, res)
	transport := e.server.ownerConns.transport(res.choice.Candidate.Addr, res.choice.Candidate.Center)
	request := e.newAttemptRequest(traced, model, res)
	packAttempt(request.Header)
	response, err := transport.RoundTrip(request) //nolint:bodyclose // closed by res.close
	heads.EndResponse(res.netConn, res.expected)
	abandonReason, deadConns := watch.stop()
	if err != nil {
		res.countFlow()
	}
	if stored := res.recovered.Load(); err != nil && stored != nil {
		e.recover(res, stored)
		return
	}
	if err != nil {
		res.maybeSent = res.transportSends.Load() > 0 && !res.revoked.Load()
		res.retryIsFree = !res.maybeSent
		res.reason = "no answer"
		if abandonReason != "" {
			res.reason = abandonReason
		}
		if !res.maybeSent {
			res.reason = "no connection"
		}
		// A cancellation before the connection is established says nothing about
		// whether the owner is reachable.
		if !res.maybeSent && !errors.Is(res.ctx.Err(), context.Canceled) {
			e.markOwnerUnreachable(res)
		}
		res.retrySameInstance = deadConns
		return
	}
	res.response = response
	e.parseResponse(res)
	res.countFlow()
}

// applyResult updates the request and its instance search with the outcome of
// an attempt.
func (e *exchange) applyResult(res *attemptResult) {
	e.search, _ = e.search.Update(e.searchMsg(res))
	e.reached = e.reached || !res.retryIsFree
	if res.retryIsFree {
		e.server.log.Info("attempt did not reach the instance", slog.String("request", e.id),
			slog.String("instance", res.choice.Candidate.Key.ID), slog.String("patience", string(res.tryCmd.Mode)),
			slog.String("reason", res.reason), slog.Duration("after", time.Since(res.startedAt)))
	}
	if strings.Contains(res.reason, _reasonCrash) {
		e.crashCount++
		e.server.fleet.bans.crashed(e.fingerprint(), res.startedAt, e.crashCount, time.Now())
	}
	if res.execution == retry.Executed && !isServerFailure(res.response) {
		e.server.fleet.bans.release(e.cachedFingerprint)
	}
	e.recordLoad(res)
	e.recordNotice(res)
}

// searchMsg returns the message that reports an attempt to the search.
func (e *exchange) searchMsg(res *attemptResult) probe.Msg {
	key := res.choice.Candidate.Key
	refused := probe.RefusedMsg{At: e.server.now(), Key: key, Mode: res.tryCmd.Mode, Far: e.server.isFar(res.choice.Candidate)}
	switch {
	case res.retrySameInstance:
		refused.Reason = probe.OwnerRestarted
	case !res.retryIsFree:
		return probe.SentMsg{Key: key}
	case res.response == nil, res.reason == string(gate.Revoked):
		refused.Reason = probe.Unreached
	case res.reason == string(gate.Full), res.reason == string(gate.Limited):
		refused.Reason = probe.Full
	case res.reason == string(gate.UnknownInstance):
		refused.Reason = probe.UnknownInstance
	case res.reason == string(gate.Expired):
		refused.Reason = probe.WaitExpired
	case res.reason == string(gate.RecentFailures):
		refused.Reason = probe.RecentFailures
	case res.reason == _reasonBudget:
		refused.Reason = probe.BudgetExhausted
	}
	return refused
}

// sleep waits for d and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// parseResponse reads the execution state that the owner reports in the response
// header.
func (e *exchange) parseResponse(res *attemptResult) {
	header := res.response.Header
	unpackHeader(header)
	if err := checkHead(res.response); err != nil {
		res.execution, res.reason = retry.Unknown, err.Error()
		e.server.ownerConns.dropConns(res.choice.Candidate.Addr)
		return
	}
	res.execution, res.reason = retry.Unknown, "answer of another attempt"
	if header.Get(_headerAttempt) != res.ref.String() {
		e.server.ownerConns.dropConns(res.choice.Candidate.Addr)
		return
	}
	if err := e.server.fleet.mergeReports(e.match.Service.Name, res.choice.Candidate.Key.Node, header.Get(_headerReports), e.server.now()); err != nil {
		e.server.log.Warn("ignored load reports of an owner", slog.String("addr", res.choice.Candidate.Addr), slog.Any("error", err))
	}
	res.reason = header.Get(HeaderReason)
	switch execution := retry.Execution(header.Get(_headerExecution)); execution {
	case retry.Executed, retry.NotExecuted:
		res.execution = execution
	}
	res.retryIsFree = res.execution == retry.NotExecuted && header.Get(_headerReachedInstance) == ""
	if res.reason == _reasonEpoch {
		res.retrySameInstance = true
		e.updateOwnerEpoch(res)
	}
}

// isFinalAttempt reports whether no other instance may get the request after this
// attempt, which should thus not test an instance that has failed recently.
func (e *exchange) isFinalAttempt(model call.Model) bool {
	limit := e.match.Attempts()
	return e.match.Route.Once || limit > 0 && model.Deliveries()+1 >= limit
}

// newAttemptRequest returns the HTTP request that carries the attempt. The model is the
// request's when the attempt began.
func (e *exchange) newAttemptRequest(ctx context.Context, model call.Model, res *attemptResult) *http.Request {
	c := res.choice.Candidate
	body, length := e.body.open(e.r.ContentLength)
	r := &http.Request{
		Method:        e.r.Method,
		URL:           forwardedURL(e.r, c.Addr),
		ProtoMajor:    1, // the transport ignores Expect without a version
		ProtoMinor:    1,
		Host:          e.r.Host,
		Header:        maps.Clone(e.header), // the values are shared and not changed
		Body:          body,
		ContentLength: length,
	}
	if length == 0 {
		r.Body = http.NoBody
	}
	if e.body.held(e.server.isFar(c)) {
		r.Header.Set("Expect", "100-continue")
	}
	r.Header.Set(_headerSecret, e.server.peerDigest)
	r.Header.Set(_headerAttempt, res.ref.String())
	r.Header.Set(_headerOwner, strconv.FormatUint(c.Epoch, 10))
	r.Header.Set(_headerInstance, c.Key.ID)
	r.Header.Set(_headerTimeLeft, formatMillis(time.Until(e.deadline)))
	r.Header.Set(HeaderCaller, e.caller)
	r.Header.Set(_headerCallerService, e.server.cfg.Settings.Service)
	r.Header.Set(_headerAdmission, string(res.tryCmd.Mode))
	r.Header.Set(_headerMaxWait, formatMillis(res.tryCmd.MaxWait))
	r.Header.Set(_headerWaitLeft, formatMillis(res.tryCmd.WaitLeft))
	if e.isFinalAttempt(model) {
		r.Header.Set(_headerFinalAttempt, "1")
	}
	if model.Deliveries() > 0 {
		r.Header.Set(_headerRetry, "1")
	}
	if e.repeatShare > 0 {
		r.Header.Set(_headerRepeatShare, strconv.FormatFloat(e.repeatShare, 'f', 3, 64))
	}
	if e.match.Route.Once {
		r.Header.Set(_headerOnce, "1")
	}
	r.Header.Set(_headerPriority, strconv.Itoa(e.priority()))
	if e.customer != nil {
		r.Header.Set(_headerCustomer, e.customer.Name)
	}
	if e.match.Plan != nil {
		r.Header.Set(_headerRoute, headerText(e.match.Plan.Name))
	}
	if target := e.match.Target(); target > 0 {
		r.Header.Set(_headerTarget, formatMillis(max(0, target-time.Since(e.startedAt))))
	}
	r.Header.Set(_headerFingerprint, strconv.FormatUint(e.fingerprint(), 16))
	if res.hint != (route.Hint{}) {
		r.Header.Set(_headerHint, formatHint(res.hint))
	}
	if rate := e.maxRateHint(c); rate != "" {
		r.Header.Set(_headerMaxRate, rate)
	}
	to := route.Receiver{Node: c.Key.Node, Far: e.server.isFar(c), Except: c.Key}
	if to.Far {
		r.Header.Set(_headerFar, "1")
	}
	if reports := e.server.fleet.reports(e.match.Service.Name, to, e.server.now()); reports != "" {
		r.Header.Set(_headerReports, reports)
	}
	return r.WithContext(ctx)
}
