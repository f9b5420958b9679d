package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/seek"
	"github.com/damaskpitch/damaskpitch/spread"
	"github.com/damaskpitch/damaskpitch/trip"
)

const (
	// _relays is how many other nodes are asked about an owner that cannot be
	// reached from here.
	_relays = 2
)

// result is what one attempt came to.
type result struct {
	ref      ledger.Ref
	fate     retry.Execution
	reason   string
	response *http.Response
	choice   route.Choice
	hint     route.Hint
	try      seek.TryCmd
	started  time.Time
	ctx      context.Context //nolint:containedctx // ends with the attempt
	cancel   context.CancelFunc
	sent     bool         // any of it may have left this process
	copies   atomic.Int32 // how often the transport sent it
	free     bool         // a retry costs no budget
	again    bool         // the instance may be tried again
	revoked  atomic.Bool  // its owner never had it and never will
	acked    atomic.Bool  // the owner said that it has it
	beaten   atomic.Bool  // by another attempt; its end tells nothing
}

// discard closes what the attempt still holds open.
func (r *result) discard() {
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

// try sends the request to one instance by way of its owner, and perhaps to a
// second one; it reports whether there was one.
func (e *exchange) try(ctx context.Context) (*result, bool) {
	res, ok := e.begin(ctx)
	if !ok {
		return nil, false
	}
	if after, ok := e.hedgeAfter(res); ok {
		return e.race(ctx, res, after), true
	}
	e.send(e.trip, res)
	e.fold(res)
	return res, true
}

func (e *exchange) hedgeAfter(res *result) (time.Duration, bool) {
	return retry.HedgeDelay(retry.Attempt{
		Once:          e.match.Route.Once,
		Replayable:    e.replayable(),
		Attempts:      e.trip.Tries(),
		Deliveries:    e.trip.Arrived(),
		MaxDeliveries: e.match.Attempts(),
		TimeLeft:      time.Until(e.deadline),
	}, res.hint.Median)
}

// begin chooses the instance for one attempt.
func (e *exchange) begin(ctx context.Context) (*result, bool) {
	s := e.server
	seq := s.seq.Add(1)
	choice, hint, cmd := e.choose(seq)
	for pause, ok := cmd.(seek.PauseCmd); ok; pause, ok = cmd.(seek.PauseCmd) {
		if !sleep(ctx, pause.Delay) {
			return nil, false
		}
		choice, hint, cmd = e.choose(seq)
	}
	try, ok := cmd.(seek.TryCmd)
	if !ok {
		return nil, false
	}
	e.logChoice(ctx, choice)
	s.stats.attempts.Inc(1)
	res := &result{
		ref:     ledger.Ref{Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Seq: seq},
		choice:  choice,
		hint:    hint,
		try:     try,
		started: time.Now(),
	}
	if e.replayable() {
		e.digest()
	}
	res.ctx, res.cancel = context.WithCancel(ctx)
	return res, true
}

func (e *exchange) choose(seq uint64) (route.Choice, route.Hint, seek.Cmd) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	choice, cmd := e.chooseLocked(route.Request{At: e.server.now(), Random: randomBits(seq)})
	try, ok := cmd.(seek.TryCmd)
	if !ok {
		return choice, route.Hint{}, cmd
	}
	e.service.loads.Update(choice.Candidate.Key, func(l *route.Load) { l.InFlight++ })
	hint := route.HintOf(e.service.pool, e.service.loads)
	if e.match.Plan != nil {
		hint.Median = e.service.latencies.Typical(e.match.Plan.Name)
	}
	return choice, hint, try
}

// chooseLocked follows the search's command, or reports that it ended or
// pauses.
func (e *exchange) chooseLocked(r route.Request) (route.Choice, seek.Cmd) {
	if by, stopping := e.server.lastStart(); stopping && r.At >= by {
		return route.Choice{}, seek.StopCmd{}
	}
	model, cmd := e.seek.WithNoRetry(e.lastChance()).Update(seek.NextMsg{At: r.At})
	for {
		e.seek = model
		try, ok := cmd.(seek.TryCmd)
		if !ok {
			return route.Choice{}, cmd
		}
		r.Tried = try.Exclude
		if choice, ok := chooseFor(e.service, r, try.Mode); ok {
			return choice, cmd
		}
		model, cmd = e.seek.Update(seek.NoCandidateMsg{At: r.At, Skipped: route.HasSkipped(e.service.pool, e.service.loads, r)})
	}
}

func chooseFor(s *service, r route.Request, p seek.AdmissionMode) (route.Choice, bool) {
	switch p {
	case seek.AdmitIfFree:
		return route.ChooseFree(s.pool, s.loads, r)
	case seek.AdmitQueued:
		return route.ChooseShortestWait(s.pool, s.loads, r)
	default:
		return route.ChooseAvoided(s.pool, s.loads, r)
	}
}

// send makes the round trip; it changes nothing but the result, as another
// attempt may run beside it.
func (e *exchange) send(model trip.Model, res *result) {
	traced := httptrace.WithClientTrace(res.ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { res.copies.Add(1) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			res.acked.Store(true)
			return nil
		},
	})
	watch := e.watchSilence(res.ctx, model, res)
	transport := e.server.paths.transport(res.choice.Candidate.Addr)
	response, err := transport.RoundTrip(e.request(traced, res)) //nolint:bodyclose // the result owns it
	gaveUp, again := watch.stop()
	if err != nil {
		res.sent = res.copies.Load() > 0 && !res.revoked.Load()
		res.free = !res.sent
		res.reason = "no answer"
		if gaveUp != "" {
			res.reason = gaveUp
		}
		if !res.sent {
			res.reason = "no connection"
		}
		// Who cancels before there is a connection has seen nothing of the path.
		if !res.sent && !errors.Is(res.ctx.Err(), context.Canceled) {
			e.blockPath(res)
		}
		res.again = again
		return
	}
	res.response = response
	e.read(res)
}

// fold takes what an attempt came to into the request.
func (e *exchange) fold(res *result) {
	e.seek, _ = e.seek.Update(e.toldBy(res))
	if res.free {
		e.server.log.Info("moved on", slog.String("request", e.id),
			slog.String("instance", res.choice.Candidate.Key.ID), slog.String("patience", string(res.try.Mode)),
			slog.String("reason", res.reason), slog.Duration("after", time.Since(res.started)))
	}
	if strings.Contains(res.reason, _reasonCrash) {
		e.crashes++
		if e.crashes == _maxCrashes {
			e.server.fleet.banLocally(e.digest())
		}
	}
	e.note(res)
}

// toldBy says what an attempt means for the search.
func (e *exchange) toldBy(res *result) seek.Msg {
	key := res.choice.Candidate.Key
	refused := seek.RefusedMsg{At: e.server.now(), Key: key, Mode: res.try.Mode}
	switch {
	case res.again:
		refused.Reason = seek.OwnerRestarted
	case !res.free:
		return seek.SentMsg{Key: key}
	case res.reason == string(gate.Full):
		refused.Reason = seek.Full
	case res.reason == string(gate.NoInstance):
		refused.Reason = seek.UnknownInstance
	case res.reason == string(gate.Expired):
		refused.Reason = seek.WaitExpired
	case res.reason == string(gate.RecentFailures):
		refused.Reason = seek.Unhealthy
	case res.reason == _reasonBudget:
		refused.Reason = seek.BudgetExhausted
	}
	return refused
}

// sleep waits, unless the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// read takes the owner's word from the answer's header.
func (e *exchange) read(res *result) {
	header := res.response.Header
	res.fate, res.reason = retry.Unknown, "answer of another attempt"
	if header.Get(_headerAttempt) != res.ref.String() {
		e.server.paths.doubt(res.choice.Candidate.Addr)
		return
	}
	res.reason = header.Get(HeaderReason)
	switch fate := retry.Execution(header.Get(_headerFate)); fate {
	case retry.Executed, retry.NotExecuted:
		res.fate = fate
	}
	res.free = res.fate == retry.NotExecuted && header.Get(_headerReached) == ""
	if res.reason == _reasonEpoch {
		res.again = true
		e.learnEpoch(res)
	}
}

// lastChance reports whether no other instance may get the request after this
// attempt, so that it should not try a doubtful one out.
func (e *exchange) lastChance() bool {
	most := e.match.Attempts()
	return e.match.Route.Once || most > 0 && e.trip.Arrived()+1 >= most
}

func (e *exchange) request(ctx context.Context, res *result) *http.Request {
	c := res.choice.Candidate
	body, length := e.newBody()
	u := *e.r.URL
	u.Scheme = "http"
	u.Host = c.Addr
	r := &http.Request{
		Method:        e.r.Method,
		URL:           &u,
		Host:          e.r.Host,
		Header:        e.header.Clone(),
		Body:          io.NopCloser(body),
		ContentLength: length,
	}
	if length == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(_headerSecret, e.server.cfg.Settings.Key)
	r.Header.Set(_headerAttempt, res.ref.String())
	r.Header.Set(_headerOwner, strconv.FormatUint(c.Epoch, 10))
	r.Header.Set(_headerInstance, c.Key.ID)
	r.Header.Set(_headerLeft, formatMillis(time.Until(e.deadline)))
	r.Header.Set(HeaderCaller, e.caller)
	r.Header.Set(_headerOrigin, e.server.cfg.Settings.Service)
	r.Header.Set(_headerPatience, string(res.try.Mode))
	r.Header.Set(_headerSlice, formatMillis(res.try.MaxWait))
	r.Header.Set(_headerHold, formatMillis(res.try.WaitLeft))
	if e.lastChance() {
		r.Header.Set(_headerCareful, "1")
	}
	if e.trip.Arrived() > 0 {
		r.Header.Set(_headerRepeat, "1")
	}
	if e.match.Route.Once {
		r.Header.Set(_headerOnce, "1")
	}
	r.Header.Set(_headerRank, strconv.Itoa(e.match.Priority()))
	if e.match.Plan != nil {
		r.Header.Set(_headerRoute, e.match.Plan.Name)
	}
	if target := e.match.Target(); target > 0 {
		r.Header.Set(_headerTarget, formatMillis(max(0, target-time.Since(e.began))))
	}
	if e.replayable() {
		r.Header.Set(_headerPrint, strconv.FormatUint(e.digest(), 16))
	}
	if res.hint != (route.Hint{}) {
		r.Header.Set(_headerHint, formatHint(res.hint))
	}
	return r.WithContext(ctx)
}

// inquire asks the owner over a new connection what became of an attempt.
func (s *Server) inquire(ctx context.Context, res *result, revoke bool) (ledger.State, bool) {
	// A caller that went away still wants the truth on record.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*_inquiryTimeout)
	defer cancel()
	c := res.choice.Candidate
	msg := proto.AttemptQuery{Attempt: res.ref, Instance: c.Key.ID, Owner: c.Epoch, Revoke: revoke}
	fate, err := s.ask(ctx, c.Addr, msg)
	if err == nil {
		return fate.State, true
	}
	s.breakPath(c)
	return s.askAround(ctx, c.Addr, msg)
}

// ask puts a question about an attempt to its owner over a new connection.
func (s *Server) ask(ctx context.Context, addr string, msg proto.AttemptQuery) (proto.AttemptStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, _inquiryTimeout)
	defer cancel()
	reply, err := s.client.CallNewConn(ctx, addr, msg)
	if err != nil {
		return proto.AttemptStatus{}, errors.Errorf("ask owner: %w", err)
	}
	fate, ok := reply.(proto.AttemptStatus)
	if !ok {
		return fate, errors.Newf("fate is %T", reply)
	}
	return fate, nil
}

// askAround lets other nodes put the question: a path that is broken from here
// is mostly sound from elsewhere.
func (s *Server) askAround(ctx context.Context, addr string, msg proto.AttemptQuery) (ledger.State, bool) {
	var peers []string
	if !s.follow.with(ctx, func(m spread.Model) { peers = m.RandomPeers(_relays, addr) }) {
		return "", false
	}
	fates := make(chan proto.AttemptStatus, len(peers))
	var asked sync.WaitGroup
	for _, peer := range peers {
		asked.Go(func() {
			reply, err := s.client.Call(ctx, peer, proto.RelayQuery{Addr: addr, Query: msg})
			if fate, ok := reply.(proto.AttemptStatus); ok && err == nil {
				fates <- fate
			}
		})
	}
	asked.Wait()
	select {
	case fate := <-fates:
		return fate.State, true
	default:
		return "", false
	}
}
