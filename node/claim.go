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

	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_maxStoredBody      = 16 << 10
	_maxKeyLength       = 255
	_claimTTLMargin     = 5 * time.Second
	_settleClaimTimeout = 10 * time.Second

	// _settleClaimWait is how long the response to the caller waits until the
	// outcome of the claim is recorded.
	_settleClaimWait = 300 * time.Millisecond
)

// claimKey claims the idempotency key of the request.
func (e *exchange) claimKey(ctx context.Context, key string) call.ClaimedMsg {
	seq := e.server.seq.Add(1)
	e.claim = store.Claim{
		Key:    e.match.Service.Name + "/" + key,
		Digest: e.fingerprint(),
		Holder: ledger.Ref{Node: e.server.cfg.Settings.Name, Epoch: e.server.epoch.Load(), Seq: seq}.String(),
		TTL:    time.Until(e.deadline) + _claimTTLMargin,
	}
	group, ok := e.server.fleet.groupOf(e.claim.Key)
	if !ok {
		return call.ClaimedMsg{Claim: call.ClaimFailed}
	}
	reply, err := e.server.submit(ctx, group, e.claim)
	if err != nil {
		return call.ClaimedMsg{Claim: call.ClaimFailed}
	}
	switch reply := reply.(type) {
	case store.KeyMismatch:
		return call.ClaimedMsg{Claim: call.ClaimMismatch}
	case store.ClaimResult:
		e.claimResult = reply
		if reply.Granted {
			// The wait for the claim is no wait for a slot.
			e.search = newSearch(e.server.now(), time.Until(e.deadline))
			return call.ClaimedMsg{Claim: call.ClaimGranted}
		}
		return call.ClaimedMsg{Claim: call.ClaimHeld, State: reply.State}
	}
	return call.ClaimedMsg{Claim: call.ClaimFailed}
}

// fingerprint returns a hash of the service, method, URI and body; of a body that is
// streamed, of its beginning and its declared length. It tells a resent request from a
// different one with the same key, and identifies requests that crash backend servers.
func (e *exchange) fingerprint() uint64 {
	if e.cachedFingerprint != 0 {
		return e.cachedFingerprint
	}
	d := xxhash.New()
	_, _ = d.WriteString(e.match.Service.Name + " " + e.r.Method + " " + e.r.URL.RequestURI() + "\n")
	_, _ = d.Write(e.body.buffered)
	if !e.body.whole() {
		_, _ = d.WriteString("\n" + strconv.FormatInt(e.r.ContentLength, 10))
	}
	e.cachedFingerprint = d.Sum64()
	return e.cachedFingerprint
}

// settleClaim records the outcome of the claim, and the response if it is short
// enough. The caller gets the response only after it is recorded, unless that takes
// longer than _settleClaimWait, since the caller has waited already.
func (e *exchange) settleClaim(outcome claim.Outcome) {
	var answer claim.Answer
	if outcome == claim.Ran {
		full, complete, storable := bufferResponse(e.lastResult)
		if !complete {
			outcome = claim.Unclear
		}
		if complete && storable {
			answer = full
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.server.settleClaim(e.claim, outcome, answer)
	}()
	select {
	case <-done:
	case <-time.After(_settleClaimWait):
	}
}

// bufferResponse reads up to 64 KiB of the response body and puts it back in front
// of the rest. It returns the response, whether it was read without an error, and
// whether it is short enough to be stored.
func bufferResponse(res *attemptResult) (claim.Answer, bool, bool) {
	body, err := io.ReadAll(io.LimitReader(res.response.Body, _maxReplayBody+1))
	rest := res.response.Body
	if err != nil {
		res.response.Body = struct {
			io.Reader
			io.Closer
		}{errorReader{err}, rest}
		return claim.Answer{}, false, false
	}
	res.response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(body), rest), rest}
	answer := claim.Answer{Status: res.response.StatusCode, Body: body}
	header := forwardableHeader(res.response.Header)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		for _, value := range header[name] {
			answer.Header = append(answer.Header, claim.NewHeader(name, value))
		}
	}
	return answer, true, len(body) <= _maxStoredBody
}

// settleClaim submits the outcome of a claim and retries until it is accepted or
// _settleClaimTimeout has passed.
func (s *Server) settleClaim(c store.Claim, outcome claim.Outcome, answer claim.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), _settleClaimTimeout)
	defer cancel()
	group, ok := s.fleet.groupOf(c.Key)
	for ok && ctx.Err() == nil {
		_, err := s.submit(ctx, group, store.SettleClaim{Key: c.Key, Holder: c.Holder, Outcome: outcome, Answer: answer})
		if err == nil {
			return
		}
	}
	s.log.Warn("failed to record the outcome of an idempotency claim", slog.String("key", c.Key), slog.String("outcome", string(outcome)))
}

// errorReader returns the error with which reading a response body failed.
type errorReader struct{ err error }

// Read implements io.Reader.
func (f errorReader) Read([]byte) (int, error) { return 0, f.err }

// respondDuplicate responds to a request whose idempotency key was claimed by an
// earlier one.
func (e *exchange) respondDuplicate(state claim.State) {
	switch {
	case state == claim.Done && !isFinalStatus(e.claimResult.Answer.Status):
		e.w.Header().Set(HeaderOutcome, "ran")
		e.w.Header().Set(HeaderReason, "answer not kept")
		http.Error(e.w, "the request ran once; its answer was too long to keep", http.StatusConflict)
	case state == claim.Done:
		for _, h := range e.claimResult.Answer.Header {
			e.w.Header().Add(h.Name, h.Text())
		}
		e.w.Header().Set(HeaderOutcome, "ran")
		e.w.Header().Set(HeaderReason, "repeat")
		e.w.WriteHeader(e.claimResult.Answer.Status)
		_, _ = e.w.Write(e.claimResult.Answer.Body)
	case state == claim.Running:
		e.w.Header().Set("Retry-After", "1")
		e.w.Header().Set(HeaderOutcome, "running")
		http.Error(e.w, "the first request with this key still runs", http.StatusConflict)
	default:
		e.respondFailure(call.FailCmd{Execution: retry.Unknown, Reason: "the first request with this key may have run"})
	}
}
