package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestReadBody checks what is buffered of a body, and which error a body over the limit
// gives, with and without a declared length.
func TestReadBody(t *testing.T) {
	cases := []struct {
		name     string
		size     int
		length   int64
		limit    int64
		buffered int
		whole    bool
		want     error
	}{
		{"empty", 0, 0, 0, 0, true, nil},
		{"short", 1000, 1000, 1000, 1000, true, nil},
		{"short without a length", 1000, -1, 0, 1000, true, nil},
		{"as long as the buffer", _maxReplayBody, _maxReplayBody, 0, _maxReplayBody, true, nil},
		{"long", 3 * _maxReplayBody, 3 * _maxReplayBody, 0, _maxReplayBody + 1, false, nil},
		{"long without a length", 3 * _maxReplayBody, -1, 0, _maxReplayBody + 1, false, nil},
		{"declared over the limit", 2000, 2000, 1000, 0, false, errBodyTooLarge},
		{"over the limit without a length", 2000, -1, 1000, 0, false, errBodyTooLarge},
	}
	for _, c := range cases {
		r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("x", c.size))))
		r.ContentLength = c.length
		if c.size == 0 {
			r.Body = http.NoBody
		}
		body, err := readBody(httptest.NewRecorder(), r, c.limit, time.Now().Add(time.Minute))
		if !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
		if err == nil && (len(body.buffered) != c.buffered || body.whole() != c.whole || !body.replayable()) {
			t.Errorf("%s: %d bytes buffered, whole %t", c.name, len(body.buffered), body.whole())
		}
	}
}

// TestStreamedBodyHasOneReader checks that a streamed body goes whole to one attempt: it
// can be opened again until part of it was read, and an attempt that has ended reads
// nothing.
func TestStreamedBodyHasOneReader(t *testing.T) {
	const size = 2 * _maxReplayBody
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
	body, err := readBody(httptest.NewRecorder(), r, 0, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	refused, _ := body.open(size)
	body.release()
	if _, err := io.ReadAll(refused); !errors.Is(err, errAttemptEnded) {
		t.Errorf("an attempt that has ended reads the body: %v", err)
	}
	if !body.replayable() {
		t.Fatal("a body that nobody read cannot be sent again")
	}
	admitted, _ := body.open(size)
	if data, err := io.ReadAll(admitted); len(data) != size || err != nil {
		t.Errorf("%d of %d bytes, %v", len(data), size, err)
	}
	if body.replayable() {
		t.Error("a body that was read can be sent again")
	}
}

// TestBodyLimitWhileStreamed checks that a body without a length that exceeds the limit
// while it is streamed breaks off, and says why.
func TestBodyLimitWhileStreamed(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("x", 4*_maxReplayBody))))
	r.ContentLength = -1
	body, err := readBody(httptest.NewRecorder(), r, 2*_maxReplayBody, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	reader, _ := body.open(-1)
	if _, err := io.ReadAll(reader); !errors.Is(err, errBodyTooLarge) || !body.tooLarge.Load() {
		t.Errorf("error %v, want %v", err, errBodyTooLarge)
	}
}
