package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/strict"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_apiTimeout   = 5 * time.Second
	_maxRequestID = 128 // bytes
)

// Problem is the body of every error response of the resource API.
type Problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
	Rev     uint64 `json:"rev,omitempty"`
}

func (s *Server) apiHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/services", s.listServices).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{name}", s.getService).Methods(http.MethodGet)
	r.HandleFunc("/v1/services/{name}", s.putService).Methods(http.MethodPut)
	r.HandleFunc("/v1/services/{name}", s.dropService).Methods(http.MethodDelete)
	r.HandleFunc("/v1/plan", s.getPlan).Methods(http.MethodGet)
	r.HandleFunc("/v1/plan", s.putPlan).Methods(http.MethodPut)
	r.HandleFunc("/v1/plan", s.patchPlan).Methods(http.MethodPatch)
	r.HandleFunc("/v1/members", s.listMembers).Methods(http.MethodGet)
	r.HandleFunc("/v1/customers", s.listCustomers).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", s.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/flows", s.getFlows).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	r.Handle("/metrics", s.meter.Handler).Methods(http.MethodGet)
	if s.cfg.Settings.Token == "" {
		return r
	}
	return wire.Authenticate(s.cfg.Settings.Token, r)
}

func (s *Server) listServices(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var list []view.VersionedService
	s.replica.Read(func(m store.Model) { list = m.View().Services() })
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getService(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var found view.VersionedService
	var ok bool
	s.replica.Read(func(m store.Model) { found, ok = m.View().Service(mux.Vars(r)["name"]) })
	if !ok {
		writeProblem(w, http.StatusNotFound, Problem{Code: "missing", Message: "no such service"})
		return
	}
	w.Header().Set("ETag", etag(found.Rev))
	writeJSON(w, http.StatusOK, found)
}

func (s *Server) putService(w http.ResponseWriter, r *http.Request) {
	var service spec.Service
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, spec.MaxDocument))
	if err == nil {
		err = strict.JSONFields(body, &service)
	}
	if err != nil {
		s.logMalformed(r, err)
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Message: err.Error()})
		return
	}
	service = service.WithDefaults()
	if service.Name != mux.Vars(r)["name"] {
		writeProblem(w, http.StatusBadRequest, Problem{
			Code: "invalid", Field: "Service.name",
			Message: "name " + strconv.Quote(service.Name) + " differs from the path's",
		})
		return
	}
	if err := service.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, invalidProblem(err))
		return
	}
	match, ok := parseMatch(w, r)
	if ok {
		s.write(w, r, store.PutService{Request: r.Header.Get("Request-Id"), Match: match, Service: service})
	}
}

// logMalformed records a write that is rejected since its body is invalid.
func (s *Server) logMalformed(r *http.Request, err error) {
	s.stats.invalid.Inc(1)
	s.log.Warn("write rejected", slog.String("method", r.Method), slog.String("path", r.URL.Path),
		slog.String("from", r.RemoteAddr), slog.Any("error", err))
}

func (s *Server) dropService(w http.ResponseWriter, r *http.Request) {
	match, ok := parseMatch(w, r)
	if ok {
		s.write(w, r, store.DropService{
			Request: r.Header.Get("Request-Id"), Match: match, Name: mux.Vars(r)["name"],
		})
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, c store.Command) {
	if _, err := encodeEntry(store.Entry{Command: c}); err != nil {
		s.writeFailure(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), _apiTimeout)
	defer cancel()
	if !s.fleet.ready() {
		writeUnavailable(w, errors.New("too few control hosts have joined"))
		return
	}
	if !s.isBootstrapped() {
		writeUnavailable(w, errors.New("the fleet has no number yet"))
		return
	}
	start := time.Now()
	result, err := s.submit(ctx, c)
	if err != nil {
		s.stats.unconfirmed.Inc(1)
		s.log.Warn("write not confirmed", slog.String("command", fmt.Sprintf("%T", c)), slog.Any("error", err))
		s.writeFailure(w, err)
		return
	}
	s.log.Info("write completed", slog.String("command", fmt.Sprintf("%T", c)), slog.Any("result", result))
	switch result := result.(type) {
	case store.Written:
		s.stats.writes.Inc(1)
		s.stats.confirm.RecordDuration(time.Since(start))
		w.Header().Set("ETag", etag(result.Rev))
		writeJSON(w, http.StatusOK, result)
	case store.Conflict:
		s.stats.conflicts.Inc(1)
		writeProblem(w, http.StatusPreconditionFailed, Problem{
			Code: "conflict", Message: "the resource has another revision", Rev: result.Rev,
		})
	case store.InvalidPlan:
		s.stats.invalid.Inc(1)
		field := &spec.FieldError{Field: result.Field, Value: result.Value, Want: result.Want}
		writeProblem(w, http.StatusBadRequest, invalidProblem(field))
	default:
		writeProblem(w, http.StatusNotFound, Problem{Code: "missing", Message: "no such service"})
	}
}

// writeFailure responds with 503 if the write certainly had no effect, and with 504
// if its outcome is unknown.
func (s *Server) writeFailure(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrInvalidCommand) {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "invalid", Message: err.Error()})
		return
	}
	if hadNoEffect(err) {
		writeUnavailable(w, err)
		return
	}
	writeProblem(w, http.StatusGatewayTimeout, Problem{
		Code:    "unknown",
		Message: "the write may have taken effect; send it again with the same Request-Id: " + err.Error(),
	})
}

// ensureCurrent waits until this host's state is up to date, unless the request
// accepts stale data. On failure it writes the error response and returns false.
func (s *Server) ensureCurrent(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Query().Get("stale") != "" {
		return true
	}
	ctx, cancel := context.WithTimeout(r.Context(), _apiTimeout)
	defer cancel()
	if err := s.catchUp(ctx); err != nil {
		s.stats.failedReads.Inc(1)
		writeUnavailable(w, err)
		return false
	}
	return true
}

func parseMatch(w http.ResponseWriter, r *http.Request) (int64, bool) {
	if id := r.Header.Get("Request-Id"); len(id) > _maxRequestID || !utf8.ValidString(id) {
		writeProblem(w, http.StatusBadRequest, Problem{
			Code: "invalid", Field: "Request-Id", Message: "128 bytes of UTF-8 at most",
		})
		return 0, false
	}
	header := r.Header.Get("If-Match")
	if header == "*" {
		return store.AnyRev, true
	}
	match, err := strconv.ParseInt(strings.Trim(header, `"`), 10, 64)
	if err != nil || match < 0 {
		writeProblem(w, http.StatusPreconditionRequired, Problem{
			Code: "precondition", Field: "If-Match",
			Message: "value " + strconv.Quote(header) + `: want the revision to replace, "0" to create, or *`,
		})
		return 0, false
	}
	return match, true
}

func invalidProblem(err error) Problem {
	p := Problem{Code: "invalid", Message: err.Error()}
	var field *spec.FieldError
	if errors.As(err, &field) {
		p.Field = field.Field
	}
	return p
}

func writeUnavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	writeProblem(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error()})
}

func etag(rev uint64) string {
	return strconv.Quote(strconv.FormatUint(rev, 10))
}

func writeProblem(w http.ResponseWriter, status int, p Problem) {
	writeJSON(w, status, p)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
