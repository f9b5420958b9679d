package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
)

// result is what one attempt came to.
type result struct {
	fate     retry.Fate
	reason   string
	response *http.Response
	choice   route.Choice
	started  time.Time
	cancel   context.CancelFunc
	free     bool // a retry that costs no budget
	final    bool // a retry is pointless
}

// discard closes what the attempt still holds open.
func (r *result) discard() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
	if r.cancel != nil {
		r.cancel()
	}
}

// attempt sends the request to one instance by way of its owner.
func (e *exchange) attempt(ctx context.Context) *result {
	s := e.server
	seq := s.seq.Add(1)
	choice, hint, ok := e.choose(seq)
	if !ok {
		return &result{fate: retry.NotRun, reason: "no instance", final: true}
	}
	e.logChoice(ctx, choice)
	e.tried = append(e.tried, choice.Candidate.Key)
	s.stats.attempts.Inc(1)
	ref := ledger.Ref{Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Seq: seq}
	res := &result{choice: choice, started: time.Now()}
	e.send(ctx, ref, hint, res)
	e.note(res)
	return res
}

func (e *exchange) choose(seq uint64) (route.Choice, route.Hint, bool) {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	choice, ok := route.Choose(e.service.pool, e.service.book, route.Request{
		At:     e.server.now(),
		Random: randomBits(seq),
		Tried:  e.tried,
	})
	if !ok {
		return choice, route.Hint{}, false
	}
	e.service.book.Change(choice.Candidate.Key, func(l *route.Load) { l.Sent++ })
	return choice, route.HintOf(e.service.pool, e.service.book), true
}

// send makes the round trip and finds out the attempt's fate.
func (e *exchange) send(ctx context.Context, ref ledger.Ref, hint route.Hint, res *result) {
	attemptCtx, cancel := context.WithCancel(ctx)
	res.cancel = cancel
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	silent := e.watchSilence(attemptCtx, ref, res, cancel)
	response, err := e.server.paths.transport(res.choice.Candidate.Addr).RoundTrip(e.request(traced, ref, hint, res)) //nolint:bodyclose // the result owns it
	silenced := silent.stop()
	if err != nil {
		e.failed(ctx, ref, res, connected.Load(), silenced)
		return
	}
	res.response = response
	if response.Header.Get(_headerAttempt) != ref.String() {
		res.fate, res.reason = retry.Unknown, "answer of another attempt"
		e.server.paths.doubt(res.choice.Candidate.Addr)
		return
	}
	res.fate = retry.Fate(response.Header.Get(_headerFate))
	res.reason = response.Header.Get(HeaderReason)
	res.free = res.reason == _reasonEpoch
	if res.free {
		e.tried = e.tried[:len(e.tried)-1]
		e.learnEpoch(res)
	}
	if res.fate != retry.Ran && res.fate != retry.NotRun {
		res.fate = retry.Unknown
	}
}

func (e *exchange) request(ctx context.Context, ref ledger.Ref, hint route.Hint, res *result) *http.Request {
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
	r.Header.Set(_headerAttempt, ref.String())
	r.Header.Set(_headerOwner, strconv.FormatUint(c.Epoch, 10))
	r.Header.Set(_headerInstance, c.Key.ID)
	r.Header.Set(_headerLeft, formatMillis(time.Until(e.deadline)))
	r.Header.Set(HeaderCaller, e.caller)
	if hint.Median > 0 {
		r.Header.Set(_headerHint, formatHint(hint))
	}
	return r.WithContext(ctx)
}

// failed finds out what became of an attempt without an answer.
func (e *exchange) failed(ctx context.Context, ref ledger.Ref, res *result, connected bool, silenced string) {
	res.fate, res.reason = retry.Unknown, "no answer"
	if silenced != "" {
		res.reason = silenced
	}
	e.blockPath(res, !connected || silenced == _pathCut)
	if !connected {
		res.fate, res.reason = retry.NotRun, "no connection"
		return
	}
	if !e.match.Route.Once && ctx.Err() == nil {
		return
	}
	if state, ok := e.server.inquire(ctx, ref, res, true); ok && state == ledger.Dead {
		res.fate, res.reason = retry.NotRun, "revoked"
	}
}

// inquire asks the owner over a new connection what became of an attempt.
func (s *Server) inquire(ctx context.Context, ref ledger.Ref, res *result, revoke bool) (ledger.State, bool) {
	// A caller that went away still wants the truth on record.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), _inquiryTimeout)
	defer cancel()
	c := res.choice.Candidate
	reply, err := s.client.CallFresh(ctx, c.Addr, proto.Inquire{
		Attempt: ref, Instance: c.Key.ID, Owner: c.Epoch, Revoke: revoke,
	})
	if err != nil {
		return "", false
	}
	fate, ok := reply.(proto.Fate)
	return fate.State, ok
}

// blockPath avoids an owner for a while that could not be reached.
func (e *exchange) blockPath(res *result, blocked bool) {
	if !blocked {
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	until := e.server.now() + _pathBlock
	e.service.book.Change(res.choice.Candidate.Key, func(l *route.Load) { l.Blocked = until })
}

// learnEpoch follows an owner that has restarted since the view was made.
func (e *exchange) learnEpoch(res *result) {
	epoch, err := strconv.ParseUint(res.response.Header.Get(_headerOwner), 10, 64)
	if err != nil {
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.pool = e.service.pool.WithEpoch(res.choice.Candidate.Key.Node, epoch)
}

// note remembers what the answer told of the instance.
func (e *exchange) note(res *result) {
	took := time.Since(res.started)
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.book.Change(res.choice.Candidate.Key, func(l *route.Load) {
		l.Sent--
		l.Failing = res.fate == retry.Unknown || failedStatus(res.response)
		if res.response == nil {
			return
		}
		l.Sick = res.response.Header.Get(_headerSick) != ""
		busy, _, _ := strings.Cut(res.response.Header.Get(_headerLoad), "/")
		l.Busy, _ = strconv.Atoi(busy)
		if micros, err := strconv.ParseInt(res.response.Header.Get(_headerTook), 10, 64); err == nil {
			took = time.Duration(micros) * time.Microsecond
		}
		if res.fate == retry.Ran {
			*l = l.WithTook(took)
		}
	})
}

// failedStatus tells a failure from an answer; 503 with Retry-After is shed
// load.
func failedStatus(r *http.Response) bool {
	if r == nil || r.StatusCode < http.StatusInternalServerError || r.StatusCode == http.StatusNotImplemented {
		return false
	}
	return r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == ""
}
