package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/proto"
)

const (
	// _maxStoredResponse is the size in bytes up to which a response body is stored.
	_maxStoredResponse = 16 << 10
	// _maxStoredBytes bounds all stored bodies of a node.
	_maxStoredBytes = 1 << 20
	// _storedTime is how long a response is stored. An ingress asks for it within two
	// silence timeouts.
	_storedTime = 10 * time.Second
)

// responseStore holds the latest responses to requests that must not run twice, so that
// an ingress can fetch one that was lost on its way.
type responseStore struct {
	mu     sync.Mutex
	byRef  map[ledger.Ref]proto.StoredResponse
	stored []storedRef // oldest first
	size   int
}

type storedRef struct {
	ref ledger.Ref
	at  time.Duration
}

func newResponseStore() *responseStore {
	return &responseStore{byRef: map[ledger.Ref]proto.StoredResponse{}}
}

// put stores a response, and drops those that are too old or too many.
func (s *responseStore) put(ref ledger.Ref, r proto.StoredResponse, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRef[ref] = r
	s.stored = append(s.stored, storedRef{ref: ref, at: at})
	s.size += len(r.Body)
	for len(s.stored) > 0 && (s.size > _maxStoredBytes || at >= s.stored[0].at+_storedTime) {
		oldest := s.stored[0].ref
		s.stored = s.stored[1:]
		s.size -= len(s.byRef[oldest].Body)
		delete(s.byRef, oldest)
	}
}

// get returns the response to an attempt, or nil.
func (s *responseStore) get(ref ledger.Ref) *proto.StoredResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byRef[ref]
	if !ok {
		return nil
	}
	return &r
}

// capturedBody keeps the beginning of a response body as it is read.
type capturedBody struct {
	io.ReadCloser
	data bytes.Buffer
	over bool // the body is longer than what is kept
}

// Read reads from the body.
func (c *capturedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if c.data.Len()+n > _maxStoredResponse {
		c.over = true
	} else {
		c.data.Write(p[:n])
	}
	return n, err
}

// store stores the response to the attempt if its whole body was captured. The ingress
// may have gone before all of it was written.
func (j *job) store(response *http.Response, body *capturedBody, read error) {
	whole := read == nil || int64(body.data.Len()) == response.ContentLength
	if body.over || !whole || j.r.Header.Get(_headerOnce) == "" {
		return
	}
	j.server.responses.put(j.ref, proto.NewStoredResponse(response.StatusCode, j.w.Header(), body.data.Bytes()), j.server.now())
}

// httpResponse returns a stored response as the owner would have sent it.
func httpResponse(stored *proto.StoredResponse) *http.Response {
	return &http.Response{
		StatusCode:    stored.Status,
		Status:        fmt.Sprintf("%d %s", stored.Status, http.StatusText(stored.Status)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        stored.HTTPHeader(),
		Body:          io.NopCloser(bytes.NewReader(stored.Body)),
		ContentLength: int64(len(stored.Body)),
	}
}
