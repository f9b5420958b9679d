package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
)

// _maxReason is the maximum length of the reason why an attempt has no response.
const _maxReason = 200

// respondNoResponse reports an attempt without a response to the ingress: it was
// not run if there was no connection to the backend server, otherwise it may have
// been.
func (j *job) respondNoResponse(connected bool, err error) {
	reason := fmt.Sprintf("%.*s", _maxReason, err) // may quote bytes of the instance
	j.server.log.Info("no response from the backend server",
		slog.String("instance", j.instance), slog.String("attempt", j.ref.String()), slog.String("error", reason))
	j.setLoadHeaders()
	if !connected {
		j.server.notRun(j.w, "no connection to the backend server")
		return
	}
	j.w.Header().Set(_headerExecution, string(retry.Unknown))
	j.w.Header().Set(HeaderReason, "backend server: "+reason)
	j.w.WriteHeader(http.StatusBadGateway)
}

// respond streams the instance's response to the ingress. If the body breaks off,
// it aborts the connection, so that the ingress sees an incomplete response.
func (j *job) respond(ctx context.Context, response *http.Response, w *work) {
	out := j.w.Header()
	for name, values := range forwardableHeader(response.Header) {
		out[name] = values
	}
	out.Set(_headerExecution, string(retry.Executed))
	out.Set(_headerLatency, formatMicros(w.instanceTime()))
	if response.ContentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	j.setLoadHeaders()
	j.keepUpload(w)
	j.w.WriteHeader(response.StatusCode)
	body := &capturedBody{ReadCloser: response.Body}
	err := streamBody(j.w, body, w)
	j.store(response, body, err)
	outcome := workDone
	switch {
	case errors.Is(err, errCallerGone):
		outcome = workCanceled
	case err != nil:
		outcome = outcomeOf(ctx, err, w)
	case isServerFailure(response):
		outcome = workFailed
	}
	j.server.finishWork(j.instance, j.ref, outcome)
	if err != nil {
		j.server.log.Info("response broke off", slog.String("instance", j.instance), slog.String("attempt", j.ref.String()),
			slog.Int64("bytes", w.bodyBytes()), slog.Int64("length", response.ContentLength),
			slog.Int64("upload_bytes", w.uploadBytes.Load()), slog.Int64("upload_length", j.r.ContentLength),
			slog.Bool("upload_failed", w.uploadFailed.Load()), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
}

// keepUpload lets the upload go on while the response is sent. Without it net/http consumes the
// rest of the upload before it sends the head, or never asks the ingress for it.
func (j *job) keepUpload(w *work) {
	if j.r.ContentLength == 0 {
		return
	}
	// Fails for writers of tests only, which read no upload.
	_ = http.NewResponseController(j.w).EnableFullDuplex()
	if w.uploadBytes.Load() != j.r.ContentLength {
		heads.Linger(j.r)
	}
	if w.uploadBytes.Load() == 0 && j.r.Header.Get("Expect") != "" {
		j.w.WriteHeader(http.StatusContinue)
	}
}

// errCallerGone reports that writing the response towards the caller failed.
var errCallerGone = errors.New("caller closed the connection")

// streamBody copies a response body and flushes each piece as it arrives.
func streamBody(w http.ResponseWriter, body io.Reader, running *work) error {
	buffer := make([]byte, _copyBuffer)
	flusher := http.NewResponseController(w)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			running.addBody(n)
			writeErr := running.writeToCaller(func() error {
				_, err := w.Write(buffer[:n])
				return errors.CombineErrors(err, flusher.Flush())
			})
			if writeErr != nil {
				return errCallerGone
			}
		}
		if err == io.EOF { //nolint:errorlint // Body.Read returns io.EOF unwrapped
			return nil
		}
		if err != nil {
			return errors.Errorf("read response body: %w", err)
		}
	}
}

// notRunReason returns why an instance did not run the request, or an empty string
// if it ran it.
func (s *Server) notRunReason(response *http.Response) string {
	switch {
	case s.headers.NotExecuted != "" && response.Header.Get(s.headers.NotExecuted) != "":
		return "shed by the instance"
	case s.headers.ExpectInstance != "" && response.StatusCode == http.StatusMisdirectedRequest:
		return string(gate.UnknownInstance)
	}
	return ""
}

// errAnotherRequest reports a response to another request than the one that was sent.
var errAnotherRequest = errors.New("answer to another request")

// answersRequest reports whether the ID in a response, if there must be one, is that of
// the request.
func (s *Server) answersRequest(response *http.Response, r *http.Request) bool {
	id := response.Header.Get(s.headers.RequestID)
	return id == r.Header.Get(s.headers.RequestID) || id == "" && !s.headers.EchoesRequestID
}

// responseFault returns why a response may be incomplete, or an empty string.
func (s *Server) responseFault(response *http.Response) string {
	success := response.StatusCode < http.StatusMultipleChoices
	if success && s.headers.ResponseStamp != "" && response.Header.Get(s.headers.ResponseStamp) == "" {
		return "success without the backend server's proof"
	}
	// A body that ends when the connection closes cannot be told from a truncated
	// one, unless the backend server stamps its responses.
	chunked := len(response.TransferEncoding) > 0
	if s.headers.ResponseStamp == "" && response.ContentLength < 0 && !chunked && response.Request.Method != http.MethodHead {
		return "answer without a length"
	}
	return ""
}

// setLoadHeaders sets the headers that report the instance's load and health as they are
// after this response, and what this node knows of the service's other instances.
func (j *job) setLoadHeaders() {
	s := j.server
	to := route.Receiver{Node: j.ref.Node, Far: j.far, Except: s.instanceKey(j.instance)}
	if reports := s.fleet.reports(s.serviceOf(j.instance), to, s.now()); reports != "" {
		j.w.Header().Set(_headerReports, reports)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.gate.Load(j.instance, s.now())
	if j.running {
		load.Running = max(0, load.Running-1)
	}
	if limitedFor := s.gate.LimitedFor(j.instance, s.now()); limitedFor > 0 {
		j.w.Header().Set(_headerRefusesFor, formatMillis(limitedFor))
	}
	j.w.Header().Set(_headerLoad, strconv.Itoa(load.Running+load.Ahead)+"/"+strconv.Itoa(load.Slots))
	b := s.backends[j.instance]
	if b == nil {
		return
	}
	if b.health.Unhealthy() {
		j.w.Header().Set(_headerUnhealthy, "1")
	}
	if b.bodyTimePerMiB > 0 {
		j.w.Header().Set(_headerBodyTime, formatMicros(b.bodyTimePerMiB))
	}
}
