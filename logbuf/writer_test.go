package logbuf

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// buffer is an output that is safe for concurrent use.
type buffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// TestLimit checks that lines above the rate are dropped, counted and reported.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out buffer
		w := New(&out, Config{Rate: 10, Burst: 20})
		for i := range 100 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		time.Sleep(2 * time.Second)
		w.Close()
		synctest.Wait()
		if got := strings.Count(out.String(), "line"); got != 20+1 {
			t.Errorf("%d lines, want 20 and the report of the rest", got)
		}
		if !strings.Contains(out.String(), `"count":80`) || w.Dropped() != 80 {
			t.Errorf("%d dropped: %s", w.Dropped(), out.String())
		}
	})
}

// blockedWriter is an output that blocks until its channel is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestNeverBlocks checks that Write does not block when the output has stopped
// reading.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		w := New(blockedWriter{release}, Config{Rate: 1, Burst: 3 * _queueSize})
		began := time.Now()
		for range 2 * _queueSize {
			fmt.Fprintln(w, "line")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("writing blocked for %v", took)
		}
		if w.Dropped() < _queueSize-1 {
			t.Errorf("%d dropped, want all that did not fit in the queue", w.Dropped())
		}
		w.Close()
		close(release)
		synctest.Wait()
	})
}
