package soak

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	_stallInterval = 10 * time.Millisecond
	// _stallLimit is how late a timer or a flush is if it may cost a leader its office:
	// half an election timeout.
	_stallLimit = 250 * time.Millisecond
	// _maxStallWait bounds how long an event waits for a machine that stalls.
	_maxStallWait = 20 * time.Second
)

// stallWatch measures how late timers and flushes are on this machine. While they are
// late, all hosts are slowed at once, which is more than the settings allow.
type stallWatch struct {
	notef func(string, ...any)

	mu    sync.Mutex
	round time.Time // when the present measurement began
	last  time.Time // end of the last stall
}

// run measures until the context is done.
func (w *stallWatch) run(ctx context.Context, folder string) error {
	f, err := os.Create(filepath.Join(folder, "stalls"))
	if err != nil {
		return errors.Errorf("watch stalls: %w", err)
	}
	defer func() { _ = f.Close() }() // nothing reads it
	for ctx.Err() == nil {
		began := time.Now()
		w.mu.Lock()
		w.round = began
		w.mu.Unlock()
		time.Sleep(_stallInterval)
		woke := time.Now()
		if _, err := f.WriteAt([]byte(woke.String()), 0); err != nil {
			return errors.Errorf("watch stalls: %w", err)
		}
		if err := f.Sync(); err != nil {
			return errors.Errorf("watch stalls: %w", err)
		}
		w.record(woke.Sub(began)-_stallInterval, time.Since(woke))
	}
	return nil
}

func (w *stallWatch) record(late, flush time.Duration) {
	if max(late, flush) <= _stallLimit {
		return
	}
	w.mu.Lock()
	w.last = time.Now()
	w.mu.Unlock()
	w.notef("machine stalled: timer %v late, flush took %v", late.Round(time.Millisecond), flush.Round(time.Millisecond))
}

// calmSince reports whether the machine has not stalled since then.
func (w *stallWatch) calmSince(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last.Before(at) && time.Since(w.round) < _stallLimit
}

// await waits until the machine has not stalled for a time, or stalls for too long.
func (w *stallWatch) await(ctx context.Context, calm time.Duration) {
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < _maxStallWait; time.Sleep(_stallInterval) {
		if since := time.Now().Add(-calm); began.Before(since) && w.calmSince(since) {
			return
		}
	}
}
