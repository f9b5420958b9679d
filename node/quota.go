package node

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/quota"
)

const (
	_reasonCapped = "the customer is over its cap"
	// _maxCappedLogs is the largest number of log lines a second on refusals.
	_maxCappedLogs = 10
	// _tokenWait is how long a request waits for a token of a customer that has room: the
	// time between two urgent reports, and a call to the leader.
	_tokenWait = 150 * time.Millisecond
)

// usage is the node's part in the caps of customers.
type usage struct {
	mu       sync.Mutex
	holder   quota.Holder
	counters customerCounters
	logs     logLimit
	answered chan struct{} // closed at the next answer
	changed  chan struct{} // has an element while the next report may be due sooner
}

func newUsage(node string) usage {
	// The process start orders the node's reports. Unlike the epoch, it never changes.
	started := uint64(time.Now().UnixMicro())
	return usage{holder: quota.NewHolder(node, started), answered: make(chan struct{}), changed: make(chan struct{}, 1)}
}

func limitOf(c *plan.Customer) quota.Limit {
	return quota.Limit{Rate: c.Rate, Burst: c.Burst}
}

// takeToken takes a token of the request's customer. Without one it refuses the request
// and returns false.
func (e *exchange) takeToken(ctx context.Context) bool {
	if e.customer == nil {
		return true
	}
	s := e.server
	s.countCustomer(e.customer.Name, _customerRequests)
	if e.customer.Rate == 0 {
		return true
	}
	d := s.usage.take(s.fleet.memberCount(), e.customer)
	for waitUntil := bootTime() + _tokenWait; d.MayWait; {
		last := !s.usage.awaitAnswer(ctx, waitUntil-bootTime())
		d = s.usage.takeWaiting(e.customer, last)
	}
	if d.Overdrawn {
		s.stats.overdrawn.Inc(1)
	}
	if d.OK {
		e.tokenTaken = true
		return true
	}
	e.refuseCapped(d)
	return false
}

// take takes a token for a request, and has a report sent soon if tokens run out.
func (u *usage) take(members int, c *plan.Customer) quota.Decision {
	at := bootTime()
	u.mu.Lock()
	u.holder.SetNodes(members)
	d := u.holder.Take(at, c.Name, limitOf(c))
	next, due := u.holder.NextReport(at)
	u.mu.Unlock()
	if due && next-at < _reportInterval {
		u.reportSoon()
	}
	return d
}

// takeWaiting takes a token for a request that waits for one.
func (u *usage) takeWaiting(c *plan.Customer, last bool) quota.Decision {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holder.TakeWaiting(bootTime(), c.Name, last)
}

// awaitAnswer waits for the next answer to a report. It returns false if none comes in time.
func (u *usage) awaitAnswer(ctx context.Context, limit time.Duration) bool {
	u.mu.Lock()
	answered := u.answered
	u.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// wakeLocked wakes the requests that wait for an answer.
func (u *usage) wakeLocked() {
	close(u.answered)
	u.answered = make(chan struct{})
}

// refuseCapped responds that the request's customer has no room.
func (e *exchange) refuseCapped(d quota.Decision) {
	s := e.server
	s.stats.capped.Inc(1)
	s.countCustomer(e.customer.Name, _customerRefused)
	s.usage.mu.Lock()
	log, skipped := s.usage.logs.allow(bootTime(), _maxCappedLogs)
	s.usage.mu.Unlock()
	if log {
		s.log.Info("request refused", slog.String("request", e.id), slog.String("reason", _reasonCapped),
			slog.String("customer", e.customer.Name), slog.Int64("tokens", d.Tokens), slog.Duration("age", d.Age),
			slog.Float64("rate", e.customer.Rate), slog.Duration("return", d.RetryAfter),
			slog.Uint64("version", s.fleet.planVersion()), slog.Int("skipped", skipped))
	}
	e.w.Header().Set("Retry-After", strconv.FormatFloat(d.RetryAfter.Seconds(), 'f', 2, 64))
	refuse(e.w, http.StatusTooManyRequests, _reasonCapped)
}

// returnToken gives the token of a request back that has ended without reaching an
// instance.
func (e *exchange) returnToken() {
	if !e.tokenTaken || e.reached {
		return
	}
	e.server.usage.mu.Lock()
	defer e.server.usage.mu.Unlock()
	e.server.usage.holder.Undo(e.customer.Name)
}

// reportSoon lets the report loop find out anew when the next report is due.
func (u *usage) reportSoon() {
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// logLimit bounds log lines per second. The zero value is ready to use.
type logLimit struct {
	second  time.Duration
	lines   int
	skipped int
}

// allow reports whether a line may be logged, and how many have not been since the last.
func (l *logLimit) allow(at time.Duration, most int) (bool, int) {
	if second := at.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= most {
		l.skipped++
		return false, 0
	}
	l.lines++
	skipped := l.skipped
	l.skipped = 0
	return true, skipped
}
