package heads

import (
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// _logInterval is the least time between two log lines on closed connections.
const _logInterval = 10 * time.Second

// Recorder is an Observer that counts what a budget decides and logs it.
type Recorder struct {
	waits, closed tally.Counter
	log           *slog.Logger
	now           func() time.Time

	mu       sync.Mutex
	loggedAt time.Time
	since    int // connections that were closed since
}

// NewRecorder returns a recorder.
func NewRecorder(scope tally.Scope, log *slog.Logger) *Recorder {
	return &Recorder{
		waits: scope.Counter("heads_delayed"), closed: scope.Counter("heads_closed"),
		log: log, now: time.Now,
	}
}

// Waits implements Observer.
func (r *Recorder) Waits() { r.waits.Inc(1) }

// Closed implements Observer. It logs the first connection, and then at intervals how many
// there were.
func (r *Recorder) Closed(held int64) {
	r.closed.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since++
	if now := r.now(); now.Sub(r.loggedAt) >= _logInterval {
		r.log.Warn("closed connections with incomplete heads, as the budget for heads was exceeded",
			slog.Int("connections", r.since), slog.Int64("held", held))
		r.loggedAt, r.since = now, 0
	}
}
