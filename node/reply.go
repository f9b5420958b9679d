package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/retry"
)

// unanswered tells the ingress what became of the attempt.
func (j *job) unanswered(connected bool, err error) {
	j.server.log.Info("no answer",
		slog.String("instance", j.instance), slog.String("attempt", j.ref.String()), slog.Any("error", err))
	j.setLoad()
	if !connected {
		j.server.notRun(j.w, "no connection to the backend server")
		return
	}
	j.w.Header().Set(_headerFate, string(retry.Unknown))
	j.w.Header().Set(HeaderReason, "backend server: "+err.Error())
	j.w.WriteHeader(http.StatusBadGateway)
}

// answer streams the instance's answer, or ends the connection in the middle.
func (j *job) answer(ctx context.Context, response *http.Response, w *work) {
	out := j.w.Header()
	for name, values := range cleanHeader(response.Header) {
		out[name] = values
	}
	out.Set(_headerFate, string(retry.Executed))
	out.Set(_headerTook, formatMicros(w.instanceTime()))
	if response.ContentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	j.setLoad()
	j.w.WriteHeader(response.StatusCode)
	err := stream(j.w, response.Body, w)
	outcome := workDone
	switch {
	case errors.Is(err, errCaller):
		outcome = workCancelled
	case err != nil:
		outcome = outcomeOf(ctx, err, w)
	case failedStatus(response):
		outcome = workFailed
	}
	j.server.finishWork(j.instance, j.ref, outcome)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// errCaller says that it was the caller's side that went away.
var errCaller = errors.New("caller went away")

// stream copies an answer as it comes.
func stream(w http.ResponseWriter, body io.Reader, running *work) error {
	buffer := make([]byte, _copyBuffer)
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			running.addBody(n)
			wrote := running.writeToCaller(func() error {
				_, werr := w.Write(buffer[:n])
				return errors.CombineErrors(werr, flusher.Flush())
			})
			if wrote != nil {
				return errCaller
			}
		}
		if err == io.EOF { //nolint:errorlint // the reader returns it bare
			return nil
		}
		if err != nil {
			return errors.Errorf("read answer: %w", err)
		}
	}
}

// unrun returns why an instance did not run the request, or nothing.
func (s *Server) unrun(response *http.Response) string {
	switch {
	case s.headers.Unrun != "" && response.Header.Get(s.headers.Unrun) != "":
		return "shed by the instance"
	case s.headers.Expect != "" && response.StatusCode == http.StatusMisdirectedRequest:
		return string(gate.NoInstance)
	}
	return ""
}

// suspicious finds an answer that may not be whole or not this request's.
func (s *Server) suspicious(response *http.Response, r *http.Request) string {
	id := response.Header.Get(s.headers.Request)
	if id != r.Header.Get(s.headers.Request) && (id != "" || s.headers.Echo) {
		return "answer to another request"
	}
	success := response.StatusCode < http.StatusMultipleChoices
	if success && s.headers.Proof != "" && response.Header.Get(s.headers.Proof) == "" {
		return "success without the backend server's proof"
	}
	// Without proof that it is whole, an answer whose end is the connection's
	// cannot be told from one that was cut.
	chunked := len(response.TransferEncoding) > 0
	if s.headers.Proof == "" && response.ContentLength < 0 && !chunked && r.Method != http.MethodHead {
		return "answer without a length"
	}
	return ""
}

func (j *job) setLoad() {
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.gate.Load(j.instance, s.now())
	j.w.Header().Set(_headerLoad, strconv.Itoa(load.Running+load.Queued)+"/"+strconv.Itoa(load.Slots))
	b := s.backends[j.instance]
	if b == nil {
		return
	}
	if b.health.Unhealthy() {
		j.w.Header().Set(_headerSick, "1")
	}
	if b.bodyTimePerMiB > 0 {
		j.w.Header().Set(_headerPace, formatMicros(b.bodyTimePerMiB))
	}
}
