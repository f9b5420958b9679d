package drain

import (
	"math"
	"time"
)

const (
	// _closeDelay is how long a stopping process accepts connections. Callers that check
	// its readiness have left by then.
	_closeDelay = 3 * time.Second
	// _closeShare is the share of the stop for which it accepts connections at most.
	_closeShare = 0.5
	// _startShare is the share of the stop in which requests may begin. Those that take
	// longer than the rest of it are cut when it ends.
	_startShare = 0.5
	// _unknownShare is the share of the stop in which work of unknown duration may begin
	// that could also be done elsewhere.
	_unknownShare = 1.0 / 6
)

// Never is a time that does not come.
const Never = time.Duration(math.MaxInt64)

// Config describes the planned stop of a process.
type Config struct {
	// Timeout is how long the stop may take.
	Timeout time.Duration
	// Successor says that another process takes over, so that there is no capacity to
	// lose and work need not be refused.
	Successor bool
}

// Model is the state of a process that may be told to stop.
type Model struct {
	cfg      Config
	stopping bool
	at       time.Duration
}

// New returns the model of a process that is not stopping.
func New(cfg Config) Model {
	return Model{cfg: cfg}
}

// Msg is a message to the model; At is the time since the process started.
type Msg interface{ drainMsg() }

// StopMsg tells the process to stop.
type StopMsg struct{ At time.Duration }

func (StopMsg) drainMsg() {}

// Update returns the model after a message.
func (m Model) Update(msg Msg) Model {
	if stop, ok := msg.(StopMsg); ok && !m.stopping {
		m.stopping, m.at = true, stop.At
	}
	return m
}

// Stopping reports whether the process has been told to stop.
func (m Model) Stopping() bool {
	return m.stopping
}

// Since returns the time since the process was told to stop, or 0.
func (m Model) Since(at time.Duration) time.Duration {
	if !m.stopping {
		return 0
	}
	return at - m.at
}

// CloseAt returns when the process stops accepting connections.
func (m Model) CloseAt() time.Duration {
	return m.after(min(_closeDelay, m.share(_closeShare)))
}

// End returns when the process must have ended.
func (m Model) End() time.Duration {
	return m.after(m.cfg.Timeout)
}

// LastRequest returns when the last attempt to serve a caller's request may begin.
func (m Model) LastRequest() time.Duration {
	return m.after(m.share(_startShare))
}

// LastStart returns when the last attempt of another process may start here, given how
// long a long one takes, or 0 if that is unknown. It could be made elsewhere at little
// cost, and is lost if this process ends first.
func (m Model) LastStart(long time.Duration) time.Duration {
	if m.cfg.Successor {
		return Never
	}
	if long == 0 {
		return m.after(m.share(_unknownShare))
	}
	return min(m.LastRequest(), m.after(m.cfg.Timeout-long))
}

// after returns the time at which d has passed since the process was told to stop.
func (m Model) after(d time.Duration) time.Duration {
	if !m.stopping {
		return Never
	}
	return m.at + d
}

func (m Model) share(share float64) time.Duration {
	return time.Duration(share * float64(m.cfg.Timeout))
}
