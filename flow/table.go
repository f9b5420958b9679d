package flow

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// _unknown is the name of the data centre of a process that has not told it.
	_unknown = "unknown"
	// _logInterval is the time between two log lines with the totals.
	_logInterval = 10 * time.Second
)

// Table holds the bytes exchanged with other data centres since the process started.
type Table struct {
	center string
	scope  tally.Scope

	mu      sync.Mutex
	centers map[string]*center
}

// center holds the totals of one other data centre.
type center struct {
	name   string
	scope  tally.Scope
	causes [_causes]cell
}

// cell holds the totals of one cause.
type cell struct {
	once                      sync.Once
	sent, received, exchanges atomic.Int64

	sentCounter, receivedCounter, exchangeCounter tally.Counter
}

// Sum is a number of bytes sent and received, and of the exchanges that they belong to.
type Sum struct {
	Sent      int64 `json:"sent"`
	Received  int64 `json:"received"`
	Exchanges int64 `json:"exchanges"`
}

// Total returns the number of bytes in both directions.
func (s Sum) Total() int64 {
	return s.Sent + s.Received
}

// NewTable returns an empty table of a process in a data centre.
func NewTable(name string, scope tally.Scope) *Table {
	return &Table{center: name, scope: scope, centers: map[string]*center{}}
}

// Wrap returns a connection whose bytes are counted. The remote data centre may be empty
// while it is unknown.
func (t *Table) Wrap(conn net.Conn, remote string) *Conn {
	c := &Conn{Conn: conn, table: t}
	c.SetCenter(remote)
	return c
}

// find returns the totals of a data centre. They are nil for the process's own.
func (t *Table) find(name string) *center {
	if name == t.center {
		return nil
	}
	if name == "" {
		name = _unknown
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.centers[name]
	if !ok {
		c = &center{name: name, scope: t.scope}
		t.centers[name] = c
	}
	return c
}

// add adds to the totals of a cause.
func (c *center) add(cause Cause, s Sum) {
	if c == nil || s == (Sum{}) {
		return
	}
	l := &c.causes[cause]
	l.once.Do(func() { l.createCounters(c, cause) })
	l.sent.Add(s.Sent)
	l.received.Add(s.Received)
	l.exchanges.Add(s.Exchanges)
	l.sentCounter.Inc(s.Sent)
	l.receivedCounter.Inc(s.Received)
	l.exchangeCounter.Inc(s.Exchanges)
}

// createCounters creates the metrics when the cause first occurs, as most never do.
func (l *cell) createCounters(c *center, cause Cause) {
	tags := map[string]string{"center": c.name, "cause": cause.String()}
	l.exchangeCounter = c.scope.Tagged(tags).Counter("center_exchanges")
	bytesScope := func(way string) tally.Counter {
		tags := maps.Clone(tags)
		tags["way"] = way
		return c.scope.Tagged(tags).Counter("center_bytes")
	}
	l.sentCounter, l.receivedCounter = bytesScope("sent"), bytesScope("received")
}

func (l *cell) sum() Sum {
	return Sum{Sent: l.sent.Load(), Received: l.received.Load(), Exchanges: l.exchanges.Load()}
}

// Totals returns the totals by cause and by data centre, without those that are 0.
func (t *Table) Totals() (byCause, byCenter map[string]Sum) {
	byCause, byCenter = map[string]Sum{}, map[string]Sum{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, c := range t.centers {
		for cause := range _causes {
			s := c.causes[cause].sum()
			if s == (Sum{}) {
				continue
			}
			byCause[cause.String()] = byCause[cause.String()].plus(s)
			byCenter[name] = byCenter[name].plus(s)
		}
	}
	return byCause, byCenter
}

func (s Sum) plus(other Sum) Sum {
	return Sum{Sent: s.Sent + other.Sent, Received: s.Received + other.Received, Exchanges: s.Exchanges + other.Exchanges}
}

// RunLog logs the totals at an interval and when the context ends, if they have changed.
func (t *Table) RunLog(ctx context.Context, log *slog.Logger) error {
	ticker := time.NewTicker(_logInterval)
	defer ticker.Stop()
	var last int64
	for {
		select {
		case <-ctx.Done():
			t.log(log, last)
			return nil
		case <-ticker.C:
			last = t.log(log, last)
		}
	}
}

// log logs the totals unless they are as last logged, and returns them.
func (t *Table) log(log *slog.Logger, last int64) int64 {
	byCause, byCenter := t.Totals()
	var total int64
	for _, s := range byCause {
		total += s.Total()
	}
	if total != last {
		log.Info("bytes between data centres", slog.String("center", t.center), slog.Int64("total", total),
			slog.Any("causes", byCause), slog.Any("centers", byCenter))
	}
	return total
}
