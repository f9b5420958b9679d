package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_maxAnswer     = 16 << 10
	_maxKey        = 255
	_claimMargin   = 5 * time.Second
	_settleTimeout = 10 * time.Second

	_settlePatience = 300 * time.Millisecond
)

// serveKeyed claims the idempotency key, runs the request once, and settles
// the claim with the answer.
func (e *exchange) serveKeyed(ctx context.Context) {
	key := e.r.Header.Get(HeaderKey)
	if len(key) > _maxKey {
		refuse(e.w, http.StatusBadRequest, HeaderKey+" is longer than 255 bytes")
		return
	}
	if !e.replayable() {
		refuse(e.w, http.StatusRequestEntityTooLarge, "a request with a key has a body of 64 KiB at most")
		return
	}
	c := store.Claim{
		Key:    e.match.Service.Name + "/" + key,
		Digest: e.digest(),
		Holder: e.server.cfg.Settings.Name + "." + strconv.FormatUint(e.server.epoch.Load(), 10) +
			"." + strconv.FormatUint(e.server.seq.Add(1), 10),
		TTL: time.Until(e.deadline) + _claimMargin,
	}
	claimed, err := e.server.submit(ctx, c)
	if err != nil {
		refuse(e.w, http.StatusServiceUnavailable, "the key could not be claimed")
		// The claim may have been taken all the same: give it back.
		go e.server.settle(c, claim.NotRun, claim.Answer{})
		return
	}
	switch claimed := claimed.(type) {
	case store.Mismatched:
		refuse(e.w, http.StatusUnprocessableEntity, "the key was used for another request")
	case store.Claimed:
		if claimed.Granted {
			e.runClaimed(ctx, c)
			return
		}
		e.repeat(claimed)
	default:
		refuse(e.w, http.StatusServiceUnavailable, "the key could not be claimed")
	}
}

// digest tells a resend from another request under the same key.
func (e *exchange) digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(e.r.Method + " " + e.r.URL.RequestURI() + "\n")
	_, _ = d.Write(e.body)
	return d.Sum64()
}

// runClaimed runs the request; its answer is on record before the caller has
// it.
func (e *exchange) runClaimed(ctx context.Context, c store.Claim) {
	// A caller that went away sends again and wants the answer then.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), e.deadline)
	defer cancel()
	res := e.run(ctx)
	if res.fate != retry.Ran {
		outcome := claim.Unclear
		if res.fate == retry.NotRun {
			outcome = claim.NotRun
		}
		e.server.settle(c, outcome, claim.Answer{})
		e.deliver(res)
		return
	}
	answer, whole, kept := readAnswer(res)
	if !whole {
		e.server.settle(c, claim.Unclear, claim.Answer{})
		res.discard()
		e.deliver(&result{fate: retry.Unknown, reason: "answer cut short"})
		return
	}
	if !kept {
		answer = claim.Answer{}
	}
	e.settleSoon(c, answer)
	e.deliver(res)
}

// settleSoon waits a moment for the claims, but not longer: the caller has
// waited for the request already.
func (e *exchange) settleSoon(c store.Claim, answer claim.Answer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.server.settle(c, claim.Ran, answer)
	}()
	select {
	case <-done:
	case <-time.After(_settlePatience):
	}
}

// readAnswer reads the whole answer; what is short enough is kept.
func readAnswer(res *result) (claim.Answer, bool, bool) {
	body, err := io.ReadAll(io.LimitReader(res.response.Body, _maxReplay+1))
	if err != nil {
		return claim.Answer{}, false, false
	}
	rest := res.response.Body
	res.response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), rest), rest}
	answer := claim.Answer{Status: res.response.StatusCode, Body: body}
	header := cleanHeader(res.response.Header)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		for _, value := range header[name] {
			answer.Header = append(answer.Header, claim.Header{Name: name, Value: value})
		}
	}
	return answer, true, len(body) <= _maxAnswer
}

// settle tells the claims how the request ended, as often as it takes.
func (s *Server) settle(c store.Claim, outcome claim.Outcome, answer claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), _settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := s.submit(ctx, store.Settle{Key: c.Key, Holder: c.Holder, Outcome: outcome, Answer: answer})
		if err == nil {
			return
		}
	}
	s.log.Warn("claim not settled", slog.String("key", c.Key), slog.String("outcome", string(outcome)))
}

// repeat answers a caller whose key was claimed before.
func (e *exchange) repeat(c store.Claimed) {
	switch c.State {
	case claim.Done:
		if c.Answer.Status == 0 {
			e.w.Header().Set(HeaderOutcome, "ran")
			e.w.Header().Set(HeaderReason, "answer not kept")
			http.Error(e.w, "the request ran once; its answer was too long to keep", http.StatusConflict)
			return
		}
		for _, h := range c.Answer.Header {
			e.w.Header().Add(h.Name, h.Value)
		}
		e.w.Header().Set(HeaderOutcome, "ran")
		e.w.Header().Set(HeaderReason, "repeat")
		e.w.WriteHeader(c.Answer.Status)
		_, _ = e.w.Write(c.Answer.Body)
	case claim.Running:
		e.w.Header().Set("Retry-After", "1")
		e.w.Header().Set(HeaderOutcome, "running")
		http.Error(e.w, "the first request with this key still runs", http.StatusConflict)
	default:
		e.deliver(&result{fate: retry.Unknown, reason: "the first request with this key may have run"})
	}
}
