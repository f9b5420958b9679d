package node

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/seek"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/trip"
)

const (
	// _startWait is how long a node that has just started takes to hear what
	// operators declare while control hosts start as well: an election and a pull.
	_startWait = 1500 * time.Millisecond
	_maxReplay = 64 << 10
	_maxID     = 128
)

// exchange is one caller's request; it lives until the answer is complete.
type exchange struct {
	server   *Server
	id       string
	caller   string
	match    route.Match
	service  *service
	w        http.ResponseWriter
	r        *http.Request
	header   http.Header
	body     []byte
	rest     io.Reader
	began    time.Time
	deadline time.Time
	trip     trip.Model
	last     *result
	failed   *result // an earlier attempt's answer, of an instance that failed
	claim    store.Claim
	claimed  store.ClaimResult
	seek     seek.Model
	crashes  int
	print    uint64
}

// serveCaller takes one request from a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	s.stats.requests.Inc(1)
	if !s.knowsSoon(r.Context()) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "nothing is declared yet")
		return
	}
	match, service, ok := s.fleet.find(r.Host, r.Method, r.URL.Path, rand.Float64())
	if !ok {
		refuse(w, http.StatusNotFound, "no route")
		return
	}
	e := &exchange{
		server:  s,
		match:   match,
		service: service,
		w:       w,
		r:       r,
		header:  cleanHeader(r.Header),
		id:      requestID(r.Header.Get(s.headers.Request)),
		caller:  callerOf(r),
	}
	e.header.Set(s.headers.Request, e.id)
	w.Header().Set(s.headers.Request, e.id)
	timeout := match.Timeout()
	if asked, ok := parseMillis(r.Header.Get(s.headers.Timeout)); ok && asked > 0 {
		timeout = min(timeout, asked)
	}
	e.began = time.Now()
	e.deadline = e.began.Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	if err := e.readBody(); err != nil {
		refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if reason := e.unfit(); reason != "" {
		refuse(w, http.StatusBadRequest, reason)
		return
	}
	service.mu.Lock()
	service.budget = service.budget.AddRequest(retry.DefaultQuota(), s.now())
	service.mu.Unlock()
	if e.replayable() && s.fleet.isBanned(e.digest()) {
		s.log.Warn("refused", slog.String("request", e.id), slog.String("reason", _reasonBanned))
		refuse(w, http.StatusUnprocessableEntity, _reasonBanned)
		return
	}
	e.seek = seek.New(seek.Config{Start: s.now(), Deadline: s.now() + timeout})
	e.travel(ctx)
}

// knowsSoon waits a moment for what operators declare, which a node that has
// just started does not know yet.
func (s *Server) knowsSoon(ctx context.Context) bool {
	for until := time.Now().Add(_startWait); !s.fleet.isConfigured(); {
		if time.Now().After(until) || s.stopping.Load() || !sleep(ctx, _tickInterval) {
			return false
		}
	}
	return true
}

// readBody keeps a short body, so that it can be sent again.
func (e *exchange) readBody() error {
	if e.r.Body == nil || e.r.Body == http.NoBody {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(e.r.Body, _maxReplay+1))
	if err != nil {
		return errors.Errorf("read: %w", err)
	}
	e.body = head
	if len(head) > _maxReplay {
		e.rest = e.r.Body
	}
	return nil
}

// unfit says why a request with an idempotency key cannot be claimed.
func (e *exchange) unfit() string {
	if !e.match.Route.Once || e.r.Header.Get(HeaderKey) == "" {
		return ""
	}
	if len(e.r.Header.Get(HeaderKey)) > _maxKey {
		return HeaderKey + " is longer than 255 bytes"
	}
	if !e.replayable() {
		return "a request with a key has a body of 64 KiB at most"
	}
	return ""
}

func (e *exchange) replayable() bool {
	return e.rest == nil
}

// newBody returns the request's body for one attempt.
func (e *exchange) newBody() (io.Reader, int64) {
	if e.rest != nil {
		return io.MultiReader(bytes.NewReader(e.body), e.rest), e.r.ContentLength
	}
	if len(e.body) == 0 {
		return http.NoBody, 0
	}
	return bytes.NewReader(e.body), int64(len(e.body))
}

// refuse tells a caller that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderOutcome, "not-run")
	w.Header().Set(HeaderReason, reason)
	http.Error(w, "the request was not run: "+reason, status)
}

func requestID(id string) string {
	if id != "" && len(id) <= _maxID {
		return id
	}
	return crand.Text()
}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// logChoice writes one line for a routing decision.
func (e *exchange) logChoice(ctx context.Context, c route.Choice) {
	sample := max(1, e.server.cfg.Settings.Log.Sample)
	if sample > 1 && e.server.seq.Load()%uint64(sample) != 0 {
		return
	}
	e.server.log.LogAttrs(ctx, slog.LevelInfo, "route",
		slog.String("request", e.id),
		slog.String("service", e.match.Service.Name),
		slog.String("instance", c.Candidate.Key.ID),
		slog.String("host", c.Candidate.Key.Node),
		slog.String("center", c.Candidate.Center),
		slog.String("reason", string(c.Reason)),
		slog.Int("rank", e.match.Priority()),
		slog.Int("considered", c.Considered),
		slog.Int("busy", c.Load.Active),
		slog.Duration("age", e.server.now()-c.Load.ReportedAt),
		slog.Uint64("version", e.server.fleet.planVersion()),
		slog.Int("try", e.trip.Tries()))
}

// randomBits mixes the attempt's count into bits for a choice.
func randomBits(seq uint64) uint64 {
	seq *= 0x9E3779B97F4A7C15
	seq ^= seq >> 29
	return seq & math.MaxUint64
}
