package ctrl

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
)

// getPlan returns the latest plan, or an error if there is none or if this host's state
// is not up to date.
func (s *Server) getPlan(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	var p plan.Plan
	s.replica.Read(func(m store.Model) { p = m.View().Plan })
	if p.Version == 0 {
		writeUnavailable(w, errors.New("no plan has been written"))
		return
	}
	w.Header().Set("ETag", etag(p.Version))
	writeJSON(w, http.StatusOK, p)
}

// putPlan replaces the whole plan.
func (s *Server) putPlan(w http.ResponseWriter, r *http.Request) {
	match, body, ok := s.readPlanRequest(w, r)
	if !ok {
		return
	}
	p, err := plan.Parse(bytes.NewReader(body))
	if err != nil {
		s.logMalformed(r, err)
		writeProblem(w, http.StatusBadRequest, invalidProblem(err))
		return
	}
	s.write(w, r, store.Declare{
		Request: planRequestID(r, body), Match: match, Plan: p, Base: s.cfg.Settings.Base.Service(),
	})
}

// patchPlan adds, replaces or deletes single items of the plan.
func (s *Server) patchPlan(w http.ResponseWriter, r *http.Request) {
	match, body, ok := s.readPlanRequest(w, r)
	if !ok {
		return
	}
	patch, err := plan.ParsePatch(bytes.NewReader(body))
	if err != nil {
		s.logMalformed(r, err)
		writeProblem(w, http.StatusBadRequest, invalidProblem(err))
		return
	}
	s.write(w, r, store.Amend{
		Request: planRequestID(r, body), Match: match, Patch: patch, Base: s.cfg.Settings.Base.Service(),
	})
}

// readPlanRequest reads the expected version and the body. On failure it writes the
// error response and returns false.
func (s *Server) readPlanRequest(w http.ResponseWriter, r *http.Request) (uint64, []byte, bool) {
	header := r.Header.Get("If-Match")
	match, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, invalidProblem(&spec.FieldError{
			Field: "If-Match", Value: header, Want: "the version to build on, 0 for the first plan",
		}))
		return 0, nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, spec.MaxDocument))
	if err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{Code: "malformed", Message: "read body: " + err.Error()})
		return 0, nil, false
	}
	return match, body, true
}

// planRequestID derives the request ID from the method, expected version and body, so
// that a retry through any host gets the result of the first attempt.
func planRequestID(r *http.Request, body []byte) string {
	sum := sha256.New()
	for _, part := range []string{r.Method, "\n", r.Header.Get("If-Match"), "\n"} {
		sum.Write([]byte(part))
	}
	sum.Write(body)
	return "plan:" + hex.EncodeToString(sum.Sum(nil))
}
