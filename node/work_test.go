package node

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"
)

// TestWork checks that time spent waiting for the caller counts neither as the
// instance's time nor as a stall.
func TestWork(t *testing.T) {
	const stallTimeout = 500 * time.Millisecond
	cases := []struct {
		name         string
		steps        []workStep
		took         time.Duration
		stalls       int
		instanceSlow bool
	}{
		{"quick response", []workStep{{runs: 10}, {responds: true}}, 10 * time.Millisecond, 0, true},
		{"no response", []workStep{{runs: 600}, {runs: 600}}, 1200 * time.Millisecond, 2, true},
		{"slow upload", []workStep{{uploads: 3000}, {runs: 10}, {responds: true}}, 10 * time.Millisecond, 0, false},
		{"slow download", []workStep{{runs: 10}, {responds: true}, {writes: 4000}, {writes: 4000}}, 10 * time.Millisecond, 0, false},
		{"long download", []workStep{{responds: true}, {runs: 300}, {writes: 10}, {runs: 300}, {writes: 10}, {runs: 300}}, 0, 0, true},
		{"stuck download", []workStep{{responds: true}, {writes: 10}, {runs: 600}, {runs: 600}}, 0, 2, true},
	}
	for _, c := range cases {
		var now time.Duration
		w := newWork(0, stallTimeout, func() time.Duration { return now })
		stalls := 0
		for _, s := range c.steps {
			s.apply(w, &now)
			if w.stalled(stallTimeout) {
				stalls++
			}
		}
		if w.instanceTime() != c.took || stalls != c.stalls || w.callerWasSlow() == c.instanceSlow {
			t.Errorf("%s: took %v with %d stalls, caller slow %v", c.name, w.instanceTime(), stalls, w.callerWasSlow())
		}
	}
}

// workStep is a step of a request; times are in milliseconds.
type workStep struct {
	runs, uploads, writes time.Duration
	responds              bool
}

// apply carries out the step on the request and advances the clock.
func (s workStep) apply(w *work, now *time.Duration) {
	*now += s.runs * time.Millisecond
	if s.responds {
		w.startResponse()
	}
	if s.uploads > 0 {
		w.setUploadWait(true)
		*now += s.uploads * time.Millisecond
		w.setUploadWait(false)
	}
	if s.writes > 0 {
		_ = w.writeToCaller(func() error {
			*now += s.writes * time.Millisecond
			return nil
		})
	}
}

// TestOutcomeOf checks which requests that ended with an error count as failures of
// their instance.
func TestOutcomeOf(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	cases := []struct {
		name   string
		ctx    context.Context //nolint:containedctx // one case
		err    error
		upload io.Reader
		want   workOutcome
	}{
		{"refused", context.Background(), syscall.ECONNREFUSED, strings.NewReader("x"), workFailed},
		{"caller gave up", gone, context.Canceled, strings.NewReader("x"), workCanceled},
		{"caller's body failed", context.Background(), io.ErrUnexpectedEOF, iotest.ErrReader(io.ErrUnexpectedEOF), workCanceled},
		{"caller's body ended", context.Background(), io.ErrUnexpectedEOF, strings.NewReader(""), workFailed},
	}
	for _, c := range cases {
		w := newWork(0, time.Second, func() time.Duration { return 0 })
		_, _ = upload{ReadCloser: io.NopCloser(c.upload), work: w}.Read(make([]byte, 1))
		if got := outcomeOf(c.ctx, c.err, w); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestBodyTime checks that the time per MiB of a response body excludes the time that
// the caller took.
func TestBodyTime(t *testing.T) {
	var now time.Duration
	w := newWork(0, time.Second, func() time.Duration { return now })
	now += 5 * time.Millisecond
	w.startResponse()
	for range 8 {
		if perMiB, ok := w.takeBodyTime(); ok {
			t.Fatalf("time per MiB %v after %d bytes", perMiB, w.bodySize)
		}
		now += 10 * time.Millisecond
		w.addBody(_bodyTimeSample / 8)
		_ = w.writeToCaller(func() error {
			now += time.Second
			return nil
		})
	}
	perMiB, ok := w.takeBodyTime()
	if want := 80 * time.Millisecond * _mebibyte / _bodyTimeSample; !ok || perMiB != want {
		t.Errorf("time per MiB %v, want %v", perMiB, want)
	}
	if _, again := w.takeBodyTime(); again {
		t.Error("time per MiB returned twice")
	}
}
