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

	// _shortDeadlineFactor is how many times longer than usual one request in a hundred
	// takes.
	_shortDeadlineFactor = 4

	// _bodyTimeSample is the number of bytes over which the time of a response body is
	// measured.
	_bodyTimeSample = 256 << 10
)

// work is a request in flight at an instance.
type work struct {
	fingerprint uint64
	request     string        // request ID
	once        bool          // not idempotent
	probe       bool          // sent to test a suspected instance
	outlived    bool          // has run longer than the instance's failures took
	kindMedian  time.Duration // median time of its kind of request; 0 if unknown
	typicalTime time.Duration // time of a typical request at the instance; 0 if unknown
	startedAt   time.Duration
	now         func() time.Duration
	repeatShare float64 // likelihood that it is a repeat

	uploadFailed atomic.Bool  // reading the caller's body failed
	uploadBytes  atomic.Int64 // of the caller's body that were read

	mu              sync.Mutex
	stopwatch       stopwatch
	responseStarted bool          // the response has started
	timeToResponse  time.Duration // instance time until the response started
	nextStall       time.Duration // stopwatch time at which the next stall counts
	stallTimeout    time.Duration
	bodySize        int64         // bytes of the response body so far
	bodyTimePerMiB  time.Duration // of the response body; 0 if not measured or already taken
}

func newWork(fingerprint uint64, stallTimeout time.Duration, now func() time.Duration) *work {
	return &work{fingerprint: fingerprint, startedAt: now(), now: now, stopwatch: stopwatch{}.start(now()), nextStall: stallTimeout, stallTimeout: stallTimeout}
}

// startResponse records that the response has started.
func (w *work) startResponse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	w.responseStarted = true
	w.timeToResponse = w.stopwatch.elapsed(at)
	w.stopwatch = w.stopwatch.start(at)
	w.nextStall = w.timeToResponse + w.stallTimeout
}

// instanceTime returns how long the instance took until its response started, or has
// taken so far. Waiting for the caller doesn't count.
func (w *work) instanceTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responseStarted {
		return w.timeToResponse
	}
	return w.stopwatch.elapsed(w.now())
}

// addBody records that n bytes of the response body were read.
func (w *work) addBody(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.bodySize
	w.bodySize += int64(n)
	if before < _bodyTimeSample && w.bodySize >= _bodyTimeSample {
		bodyTime := w.stopwatch.elapsed(w.now()) - w.timeToResponse
		w.bodyTimePerMiB = max(1, time.Duration(float64(bodyTime)*_mebibyte/float64(w.bodySize)))
	}
}

// bodyBytes returns how many bytes of the response body were read.
func (w *work) bodyBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bodySize
}

// takeBodyTime returns the time per MiB of the response body, once it is measured. It
// returns it only once.
func (w *work) takeBodyTime() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	perMiB := w.bodyTimePerMiB
	w.bodyTimePerMiB = 0
	return perMiB, perMiB > 0
}

// hadShortDeadline reports whether the instance had less time than such requests
// occasionally take.
func (w *work) hadShortDeadline() bool {
	return w.instanceTime() < _shortDeadlineFactor*w.typicalTime
}

// callerWasSlow reports whether most of the time was spent waiting for the caller.
func (w *work) callerWasSlow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.now()
	return w.stopwatch.elapsed(at) < (at-w.startedAt)/2
}

// stalled reports whether the instance has made no progress for another stall timeout,
// and sets the timeout of the following stalls.
func (w *work) stalled(timeout time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stallTimeout = timeout
	elapsed := w.stopwatch.elapsed(w.now())
	if elapsed < w.nextStall {
		return false
	}
	w.nextStall = elapsed + timeout
	return true
}

// writeToCaller runs write, which sends part of the response to the caller, without
// counting its time as the instance's.
func (w *work) writeToCaller(write func() error) error {
	w.mu.Lock()
	at := w.now()
	w.stopwatch = w.stopwatch.stop(at)
	w.nextStall = w.stopwatch.accumulated + w.stallTimeout
	w.mu.Unlock()
	err := write()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopwatch = w.stopwatch.start(w.now())
	return err
}

// upload is the caller's body on its way to an instance. Waiting for it doesn't count
// as the instance's time.
type upload struct {
	io.ReadCloser
	work *work
}

// Read reads from the caller's body.
func (u upload) Read(p []byte) (int, error) {
	u.work.setUploadWait(true)
	defer u.work.setUploadWait(false)
	n, err := u.ReadCloser.Read(p)
	u.work.uploadBytes.Add(int64(n))
	if err != nil && !errors.IsAny(err, io.EOF, http.ErrBodyReadAfterClose) {
		u.work.uploadFailed.Store(true)
	}
	return n, err
}

// setUploadWait stops the stopwatch while the request waits for the caller's body. Once
// the response has started, the stopwatch follows the response instead.
func (w *work) setUploadWait(waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch at := w.now(); {
	case w.responseStarted:
	case waiting:
		w.stopwatch = w.stopwatch.stop(at)
	default:
		w.stopwatch = w.stopwatch.start(at)
	}
}
