package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/trip"
)

const (
	_maxAnswer     = 16 << 10
	_maxKey        = 255
	_claimMargin   = 5 * time.Second
	_settleTimeout = 10 * time.Second

	_settlePatience = 300 * time.Millisecond
)

// take claims the idempotency key.
func (e *exchange) take(ctx context.Context, key string) trip.ClaimedMsg {
	seq := e.server.seq.Add(1)
	e.claim = store.Claim{
		Key:    e.match.Service.Name + "/" + key,
		Digest: e.digest(),
		Holder: ledger.Ref{Node: e.server.cfg.Settings.Name, Epoch: e.server.epoch.Load(), Seq: seq}.String(),
		TTL:    time.Until(e.deadline) + _claimMargin,
	}
	group, ok := e.server.fleet.groupOf(e.claim.Key)
	if !ok {
		return trip.ClaimedMsg{Claim: trip.ClaimFailed}
	}
	answer, err := e.server.submit(ctx, group, e.claim)
	if err != nil {
		return trip.ClaimedMsg{Claim: trip.ClaimFailed}
	}
	switch answer := answer.(type) {
	case store.KeyReused:
		return trip.ClaimedMsg{Claim: trip.ClaimMismatch}
	case store.ClaimResult:
		e.claimed = answer
		if answer.Granted {
			return trip.ClaimedMsg{Claim: trip.ClaimGranted}
		}
		return trip.ClaimedMsg{Claim: trip.ClaimHeld, State: answer.State}
	}
	return trip.ClaimedMsg{Claim: trip.ClaimFailed}
}

// digest tells a resend from another request under the same key.
func (e *exchange) digest() uint64 {
	if e.print != 0 {
		return e.print
	}
	d := xxhash.New()
	_, _ = d.WriteString(e.match.Service.Name + " " + e.r.Method + " " + e.r.URL.RequestURI() + "\n")
	_, _ = d.Write(e.body)
	e.print = d.Sum64()
	return e.print
}

// settleClaim puts the outcome on record; an answer goes on record before the
// caller has it, unless that takes long: the caller has waited already.
func (e *exchange) settleClaim(outcome claim.Outcome) {
	var answer claim.Answer
	if outcome == claim.Ran {
		full, whole, kept := readAnswer(e.last)
		if !whole {
			outcome = claim.Unclear
		}
		if whole && kept {
			answer = full
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.server.settle(e.claim, outcome, answer)
	}()
	select {
	case <-done:
	case <-time.After(_settlePatience):
	}
}

// readAnswer reads the whole answer; what is short enough is kept.
func readAnswer(res *result) (claim.Answer, bool, bool) {
	body, err := io.ReadAll(io.LimitReader(res.response.Body, _maxReplay+1))
	rest := res.response.Body
	if err != nil {
		res.response.Body = struct {
			io.Reader
			io.Closer
		}{failingReader{err}, rest}
		return claim.Answer{}, false, false
	}
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
	group, ok := s.fleet.groupOf(c.Key)
	for ok && ctx.Err() == nil {
		_, err := s.submit(ctx, group, store.CompleteClaim{Key: c.Key, Holder: c.Holder, Outcome: outcome, Answer: answer})
		if err == nil {
			return
		}
	}
	s.log.Warn("claim not settled", slog.String("key", c.Key), slog.String("outcome", string(outcome)))
}

// failingReader gives the error that an answer ended with.
type failingReader struct{ err error }

// Read returns the error.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// repeat answers a caller whose key was claimed before.
func (e *exchange) repeat(state claim.State) {
	switch {
	case state == claim.Done && e.claimed.Answer.Status == 0:
		e.w.Header().Set(HeaderOutcome, "ran")
		e.w.Header().Set(HeaderReason, "answer not kept")
		http.Error(e.w, "the request ran once; its answer was too long to keep", http.StatusConflict)
	case state == claim.Done:
		for _, h := range e.claimed.Answer.Header {
			e.w.Header().Add(h.Name, h.Value)
		}
		e.w.Header().Set(HeaderOutcome, "ran")
		e.w.Header().Set(HeaderReason, "repeat")
		e.w.WriteHeader(e.claimed.Answer.Status)
		_, _ = e.w.Write(e.claimed.Answer.Body)
	case state == claim.Running:
		e.w.Header().Set("Retry-After", "1")
		e.w.Header().Set(HeaderOutcome, "running")
		http.Error(e.w, "the first request with this key still runs", http.StatusConflict)
	default:
		e.tell(trip.FailCmd{Fate: retry.Unknown, Reason: "the first request with this key may have run"})
	}
}
