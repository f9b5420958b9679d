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

// TestWork tells whose time a request takes: its instance's or its caller's.
func TestWork(t *testing.T) {
	const patience = 500 * time.Millisecond
	cases := []struct {
		name     string
		steps    []workStep
		took     time.Duration
		stalls   int
		blameful bool
	}{
		{"quick answer", []workStep{{runs: 10}, {begins: true}}, 10 * time.Millisecond, 0, true},
		{"no answer", []workStep{{runs: 600}, {runs: 600}}, 1200 * time.Millisecond, 2, true},
		{"slow upload", []workStep{{uploads: 3000}, {runs: 10}, {begins: true}}, 10 * time.Millisecond, 0, false},
		{"slow download", []workStep{{runs: 10}, {begins: true}, {writes: 4000}, {writes: 4000}}, 10 * time.Millisecond, 0, false},
		{"long download", []workStep{{begins: true}, {runs: 300}, {writes: 10}, {runs: 300}, {writes: 10}, {runs: 300}}, 0, 0, true},
		{"stuck download", []workStep{{begins: true}, {writes: 10}, {runs: 600}, {runs: 600}}, 0, 2, true},
	}
	for _, c := range cases {
		var now time.Duration
		w := newWork(0, patience, func() time.Duration { return now })
		stalls := 0
		for _, s := range c.steps {
			s.take(w, &now)
			if w.stalled(patience) {
				stalls++
			}
		}
		if w.instanceTime() != c.took || stalls != c.stalls || w.callersFault() == c.blameful {
			t.Errorf("%s: took %v with %d stalls, caller's fault %v", c.name, w.instanceTime(), stalls, w.callersFault())
		}
	}
}

// workStep is one step of a request, in milliseconds.
type workStep struct {
	runs, uploads, writes time.Duration
	begins                bool
}

func (s workStep) take(w *work, now *time.Duration) {
	*now += s.runs * time.Millisecond
	if s.begins {
		w.begun()
	}
	if s.uploads > 0 {
		w.wait(true)
		*now += s.uploads * time.Millisecond
		w.wait(false)
	}
	if s.writes > 0 {
		_ = w.writing(func() error {
			*now += s.writes * time.Millisecond
			return nil
		})
	}
}

// TestOutcomeOf says whom a request without an answer is blamed on.
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
		{"caller gave up", gone, context.Canceled, strings.NewReader("x"), workCancelled},
		{"caller's body broke off", context.Background(), io.ErrUnexpectedEOF, iotest.ErrReader(io.ErrUnexpectedEOF), workCancelled},
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

// TestPace tells the time for a MiB of a body, without what the caller took.
func TestPace(t *testing.T) {
	var now time.Duration
	w := newWork(0, time.Second, func() time.Duration { return now })
	now += 5 * time.Millisecond
	w.begun()
	for range 8 {
		if pace, ok := w.takePace(); ok {
			t.Fatalf("pace %v of %d bytes", pace, w.size)
		}
		now += 10 * time.Millisecond
		w.read(_paceSize / 8)
		_ = w.writing(func() error {
			now += time.Second
			return nil
		})
	}
	pace, ok := w.takePace()
	if want := 80 * time.Millisecond * _mebibyte / _paceSize; !ok || pace != want {
		t.Errorf("pace %v, want %v", pace, want)
	}
	if _, again := w.takePace(); again {
		t.Error("the pace is told twice")
	}
}
