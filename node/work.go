package node

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	_mebibyte = 1 << 20

	// _hastyFactor is how much longer than usual one request of a hundred takes.
	_hastyFactor = 4

	// _paceSize is how much of an answer tells its pace.
	_paceSize = 256 << 10
)

// work is one request that an instance runs.
type work struct {
	print   uint64
	request string        // the caller's name for it
	once    bool          // it is not idempotent
	trial   bool          // it tries a doubtful instance out
	proved  bool          // it has outlived the instance's failures
	median  time.Duration // the usual time of a request of its kind, or 0
	usual   time.Duration // the usual time of any request here, or 0
	since   time.Duration
	now     func() time.Duration

	brokeOff atomic.Bool // the caller's body did

	mu       sync.Mutex
	watch    stopwatch
	answered bool          // the answer has begun
	took     time.Duration // until then
	stalls   time.Duration // on the watch, when it counts as a stall next
	patience time.Duration
	size     int64         // of the answer's body so far
	pace     time.Duration // for a MiB of it, until it is taken
}

func newWork(mark uint64, patience time.Duration, now func() time.Duration) *work {
	return &work{print: mark, since: now(), now: now, watch: stopwatch{}.start(now()), stalls: patience, patience: patience}
}

// begun notes that the answer begins.
func (w *work) begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	w.answered = true
	w.took = w.watch.elapsed(at)
	w.watch = w.watch.start(at)
	w.stalls = w.took + w.patience
}

// instanceTime returns how long the instance took until its answer began, or
// has taken.
func (w *work) instanceTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered {
		return w.took
	}
	return w.watch.elapsed(w.now())
}

// read notes a piece of the answer's body.
func (w *work) read(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.size
	w.size += int64(n)
	if before < _paceSize && w.size >= _paceSize {
		body := w.watch.elapsed(w.now()) - w.took
		w.pace = max(1, time.Duration(float64(body)*_mebibyte/float64(w.size)))
	}
}

// takePace returns the pace of the answer's body once.
func (w *work) takePace() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pace := w.pace
	w.pace = 0
	return pace, pace > 0
}

// hasty reports whether the caller gave the instance less time than such
// requests take now and then.
func (w *work) hasty() bool {
	return w.instanceTime() < _hastyFactor*w.usual
}

// callersFault reports whether most of the time went by in waiting for the
// caller.
func (w *work) callersFault() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	return w.watch.elapsed(at) < (at-w.since)/2
}

// stalled reports whether the instance has shown no progress for its patience
// once more.
func (w *work) stalled(patience time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.patience = patience
	elapsed := w.watch.elapsed(w.now())
	if elapsed < w.stalls {
		return false
	}
	w.stalls = elapsed + patience
	return true
}

// writing calls the function, which waits for the caller to take some of the
// answer.
func (w *work) writing(write func() error) error {
	w.mu.Lock()
	at := w.now()
	w.watch = w.watch.stop(at)
	w.stalls = w.watch.accumulated + w.patience
	w.mu.Unlock()
	err := write()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watch = w.watch.start(w.now())
	return err
}

// upload is the caller's body on its way to an instance: time spent waiting
// for it is not the instance's.
type upload struct {
	io.ReadCloser
	work *work
}

// Read waits for more of the caller's body.
func (u upload) Read(p []byte) (int, error) {
	u.work.wait(true)
	defer u.work.wait(false)
	n, err := u.ReadCloser.Read(p)
	if err != nil && !errors.IsAny(err, io.EOF, http.ErrBodyReadAfterClose) {
		u.work.brokeOff.Store(true)
	}
	return n, err
}

// wait stops the watch while the caller's body is awaited; once the answer has
// begun it is the answer that counts.
func (w *work) wait(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch at := w.now(); {
	case w.answered:
	case on:
		w.watch = w.watch.stop(at)
	default:
		w.watch = w.watch.start(at)
	}
}
