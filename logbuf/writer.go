package logbuf

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// _defaultRate allows a few lines per request at the request rate of a small
	// host; _defaultBurst is ten seconds of that rate.
	_defaultRate    = 500
	_defaultBurst   = 5000
	_queueSize      = 4096
	_reportInterval = time.Second
	// _closeTimeout bounds the delay of Close when the reader has stopped.
	_closeTimeout = 200 * time.Millisecond
)

// Config sets the limits of a writer; zero values take the defaults.
type Config struct {
	// Rate is the number of lines per second, and Burst the number of lines
	// that may arrive at once.
	Rate  int
	Burst int
}

// Writer queues log lines for an output and drops those above its limits.
type Writer struct {
	cfg   Config
	out   io.Writer
	lines chan []byte
	stop  chan struct{}
	done  chan struct{}

	mu           sync.Mutex
	tokens       float64
	refilled     time.Time
	dropped      uint64 // lines dropped since the last report
	droppedTotal uint64
}

// New returns a writer that forwards lines to an output.
func New(out io.Writer, cfg Config) *Writer {
	if cfg.Rate == 0 {
		cfg.Rate = _defaultRate
	}
	if cfg.Burst == 0 {
		cfg.Burst = _defaultBurst
	}
	w := &Writer{
		cfg:      cfg,
		out:      out,
		lines:    make(chan []byte, _queueSize),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
		tokens:   float64(cfg.Burst),
		refilled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues a line or drops it; it never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.admit() {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Close writes the queued lines, unless the output takes too long.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(_closeTimeout):
	}
}

// admit takes a token for a line, or counts the line as dropped.
func (w *Writer) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilled).Seconds()*float64(w.cfg.Rate), float64(w.cfg.Burst))
	w.refilled = now
	if w.tokens < 1 {
		w.dropped++
		w.droppedTotal++
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
	w.droppedTotal++
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(_reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-ticker.C:
			w.reportDropped()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) reportDropped() {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.emit(fmt.Appendf(nil, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), dropped))
	}
}

// emit writes a line. An error is ignored, as there is nowhere to report it.
func (w *Writer) emit(line []byte) {
	_, _ = w.out.Write(line)
}
