package node

import (
	"context"
	crand "crypto/rand"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/bodies"
	"github.com/damaskpitch/damaskpitch/call"
	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	// _declarationsWait bounds how long a request waits on a node that has just
	// started for the declared services and routes. It covers a control host
	// election and one pull, for the case that control hosts start as well.
	_declarationsWait = 1500 * time.Millisecond
	_maxRequestID     = 128
)

// exchange is the state of one caller's request until its response is complete.
type exchange struct {
	server            *Server
	id                string
	caller            string
	match             route.Match
	service           *service
	customer          *plan.Customer // nil if the request belongs to none
	tokenTaken        bool           // from the customer's cap
	reached           bool           // an attempt may have reached an instance
	w                 http.ResponseWriter
	r                 *http.Request
	header            http.Header
	body              *requestBody
	startedAt         time.Time
	deadline          time.Time
	lifecycle         call.Model
	lastResult        *attemptResult
	failedResult      *attemptResult // response of an instance that failed in an earlier attempt
	claim             store.Claim
	claimResult       store.ClaimResult
	search            probe.Model
	nearby            route.Nearby // why the last attempt left the data centre, if it did
	crashCount        int
	trial             bool // a trial of a banned request
	cachedFingerprint uint64
	repeatShare       float64 // likelihood that a repeat makes the request, if it is a call
}

// serveCaller handles one request from a caller.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	s.stats.requests.Inc(1)
	if !s.waitForDeclarations(r.Context()) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "nothing is declared yet")
		return
	}
	match, service, ok := s.fleet.find(r.Host, r.Method, sentPath(r), rand.Float64())
	if !ok {
		refuse(w, http.StatusNotFound, "no route")
		return
	}
	id := requestID(r.Header.Get(s.headers.RequestID))
	w.Header().Set(s.headers.RequestID, id)
	limits := s.fleet.limits()
	if limits.Header > 0 && headerSize(r) > limits.Header {
		refuse(w, http.StatusRequestHeaderFieldsTooLarge, "header exceeds the limit")
		return
	}
	e := &exchange{
		server:  s,
		match:   match,
		service: service,
		w:       w,
		r:       r,
		header:  forwardableHeader(r.Header),
		id:      id,
		caller:  callerName(r),
	}
	e.header.Set(s.headers.RequestID, e.id)
	if !e.authenticate() || !e.takeToken(r.Context()) {
		return
	}
	defer e.returnToken()
	timeout := match.Timeout()
	if requested, ok := parseMillis(r.Header.Get(s.headers.Timeout)); ok && requested > 0 {
		timeout = min(timeout, requested)
	}
	e.startedAt = time.Now()
	e.deadline = e.startedAt.Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	charge, ok := e.acquireBody(ctx, limits.Body)
	if !ok {
		return
	}
	defer charge.Release()
	body, err := readBody(w, r, limits.Body, e.deadline)
	if err != nil {
		e.refuseBody(err)
		return
	}
	charge.Shrink(int64(len(body.buffered)))
	e.body = body
	if reason := e.unclaimableReason(); reason != "" {
		refuse(w, http.StatusBadRequest, reason)
		return
	}
	service.mu.Lock()
	service.budget = service.budget.AddRequest(retry.DefaultQuota(), s.now())
	service.mu.Unlock()
	if e.refuseBanned(ctx) {
		return
	}
	e.repeatShare = s.callRepeatShare(match.Service.Name)
	e.search = newSearch(s.now(), timeout)
	e.run(ctx)
}

// newSearch returns the search of a request that has yet to try an instance.
func newSearch(at, left time.Duration) probe.Model {
	return probe.New(probe.Config{Start: at, Deadline: at + left})
}

// waitForDeclarations waits until the declared services and routes are known,
// which they are not on a node that has just started. It returns false if they
// do not arrive in time.
func (s *Server) waitForDeclarations(ctx context.Context) bool {
	for end := time.Now().Add(_declarationsWait); !s.fleet.hasDeclarations(); {
		if time.Now().After(end) || s.isStopping() || !sleep(ctx, _tickInterval) {
			return false
		}
	}
	return true
}

// acquireBody waits for room to buffer the body. If there is none, it refuses the request, of
// whose body nothing has been read, and returns false.
func (e *exchange) acquireBody(ctx context.Context, limit int64) (*bodies.Charge, bool) {
	size := bufferedSize(e.r, limit)
	if size <= _freeBody {
		return nil, true
	}
	charge, err := e.server.bodies.Acquire(ctx, size)
	if err == nil {
		return charge, true
	}
	e.server.stats.bodiesRefused.Inc(1)
	e.server.logBodyRefused(err)
	e.w.Header().Set("Retry-After", _bodyRetryAfter)
	refuse(e.w, http.StatusServiceUnavailable, bodies.ErrFull.Error())
	return nil, false
}

// logBodyRefused logs the first refusal for lack of room, and then at intervals how many there
// were.
func (s *Server) logBodyRefused(err error) {
	s.mu.Lock()
	s.refusedBodies++
	n, now := s.refusedBodies, s.now()
	due := s.bodiesLoggedAt == 0 || now-s.bodiesLoggedAt >= _bodyLogInterval
	if due {
		s.refusedBodies, s.bodiesLoggedAt = 0, now
	}
	s.mu.Unlock()
	if due {
		s.log.Warn("refused requests for lack of room for their bodies", slog.Int("requests", n),
			slog.Int64("held", s.bodies.Used()), slog.Any("error", err))
	}
}

// refuseBody responds to a request whose body could not be read; nothing of it has been
// sent to an instance.
func (e *exchange) refuseBody(err error) {
	e.server.log.Info("request body not read", slog.String("request", e.id), slog.Any("error", err),
		slog.Duration("after", time.Since(e.startedAt)))
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTimeout):
		status = http.StatusRequestTimeout
	}
	e.w.Header().Set("Connection", "close")
	refuse(e.w, status, err.Error())
}

// unclaimableReason returns why the idempotency key of a request cannot be
// claimed, or an empty string.
func (e *exchange) unclaimableReason() string {
	if !e.match.Route.Once || e.r.Header.Get(HeaderIdempotencyKey) == "" {
		return ""
	}
	if len(e.r.Header.Get(HeaderIdempotencyKey)) > _maxKeyLength {
		return HeaderIdempotencyKey + " is longer than 255 bytes"
	}
	if !utf8.ValidString(e.r.Header.Get(HeaderIdempotencyKey)) {
		return HeaderIdempotencyKey + " is not valid UTF-8"
	}
	if !e.body.whole() {
		return "a request with a key has a body of 64 KiB at most"
	}
	return ""
}

// refuse responds that the request was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderOutcome, "not-run")
	w.Header().Set(HeaderReason, reason)
	http.Error(w, "the request was not run: "+reason, status)
}

func requestID(id string) string {
	if id != "" && len(id) <= _maxRequestID {
		return id
	}
	return crand.Text()
}

func callerName(r *http.Request) string {
	if name := r.Header.Get(HeaderCaller); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// logChoice logs a routing decision, or one of every Log.Sample of them.
func (e *exchange) logChoice(ctx context.Context, c route.Choice) {
	sample := max(1, e.server.cfg.Settings.Log.Sample)
	if sample > 1 && e.server.seq.Load()%uint64(sample) != 0 {
		return
	}
	var left, customer slog.Attr // not logged unless set
	if e.customer != nil {
		customer = slog.String("customer", e.customer.Name)
	}
	if e.server.isFar(c.Candidate) {
		left = slog.String("left", e.nearby.String())
	}
	e.server.log.LogAttrs(ctx, slog.LevelInfo, "instance chosen",
		slog.String("request", e.id),
		slog.String("service", e.match.Service.Name),
		slog.String("instance", c.Candidate.Key.ID),
		slog.String("host", c.Candidate.Key.Node),
		slog.String("center", c.Candidate.Center),
		slog.String("reason", string(c.Reason)),
		slog.Int("rank", e.priority()),
		slog.Int("considered", c.Considered),
		slog.Int("busy", c.Load.Active),
		slog.Duration("age", e.server.now()-c.Load.ReportedAt),
		slog.Uint64("version", e.server.fleet.planVersion()),
		slog.Int("try", e.lifecycle.Attempts()), customer, left)
}

// randomBits hashes the sequence number of an attempt into pseudorandom bits for
// the choice of an instance.
func randomBits(seq uint64) uint64 {
	seq *= 0x9E3779B97F4A7C15
	seq ^= seq >> 29
	return seq & math.MaxUint64
}
