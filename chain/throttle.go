package chain

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	_beginShare = 0.2 // of runs that fail, above which requests are refused
	_calmShare  = 0.1 // of runs that fail, below which more are admitted
	// _minAdmit is the least admitted share of the usual rate. Calls are seen seconds after
	// their requests were admitted; trials with 0.3 and 0.4 served fewer of the requests that
	// arrived in the 2 s after the trouble.
	_minAdmit = 0.5
	// _headroom is how many requests are admitted for each whose calls are answered. In
	// trials with 1.3 and 1.5 the called service was used less, and fewer were served.
	_headroom  = 2.0
	_growth    = 1.5 // factor of one step up
	_growEvery = 200 * time.Millisecond
	// _onset is how long runs fail before the first step, so that their share is known.
	_onset = 500 * time.Millisecond
	// _settle is the time from one step down to the next, within which the calls of the
	// requests that were admitted since are seen.
	_settle = 2500 * time.Millisecond
	// If the failing share stays above _gainShare of the earlier one, refusals gain nothing,
	// and everything is admitted for _giveUpTime.
	_gainShare  = 0.85
	_giveUpTime = 8 * time.Second
	// _minSample is the least number of calls that tells a share from chance.
	_minSample = 12
	// _baselineAge is how old the earlier report of an owner may be from which calls are
	// counted.
	_baselineAge = 2 * time.Second
	// Reports are passed on for _relayAge, _maxRelayed at a time.
	_relayAge   = time.Second
	_maxRelayed = 8
	// _retryTime is the mean time after which a refused caller is told to come back.
	_retryTime = 2 * time.Second
	// _rateHalfLife is the time in which earlier requests lose half of their weight in the
	// rate. An ingress may see one request of a kind in three seconds.
	_rateHalfLife = 10 * time.Second
	// _burstTime is the time whose share of the rate may be admitted at once.
	_burstTime = 200 * time.Millisecond
)

// Throttle decides at an ingress which requests of one kind to admit. It is not safe for
// concurrent use.
type Throttle struct {
	admitted  float64 // share of the usual rate, 1 for everything
	share     float64 // of runs that failed when the throttle began to refuse
	troubleAt time.Duration
	stepAt    time.Duration
	giveUp    time.Duration // everything is admitted until then
	rate      float64       // of requests, per second, outside trouble
	seenAt    time.Duration
	tokens    float64 // requests that are admitted, while the share is below 1
	reports   map[string]aged
	recent    *calls
	perRun    float64
}

type aged struct {
	report Report
	at     time.Duration
}

// NewThrottle returns a throttle that admits everything.
func NewThrottle() Throttle {
	return Throttle{admitted: 1, troubleAt: -1, reports: map[string]aged{}, recent: &calls{}}
}

// WithReport returns the throttle after a report of an owner, made at a time.
func (t Throttle) WithReport(owner string, r Report, at time.Duration) Throttle {
	before, known := t.reports[owner]
	if known && r.Calls <= before.report.Calls {
		return t // late or repeated
	}
	t.reports[owner] = aged{report: r, at: at}
	t.recent.advance(at)
	t.perRun = r.PerRun
	if known && at < before.at+_baselineAge {
		t.recent.current.calls += r.Calls - before.report.Calls
		t.recent.current.failed += r.Failed - before.report.Failed
	} else {
		t.recent.current.calls += r.RecentCalls
		t.recent.current.failed += r.RecentFailed
	}
	return t.adjust(at)
}

// Relayed is an owner's report that a node passes on.
type Relayed struct {
	Owner  string
	Report Report
	At     time.Duration
}

// Reports returns the newest reports of owners, for other nodes.
func (t Throttle) Reports(at time.Duration) []Relayed {
	var list []Relayed
	for owner, r := range t.reports {
		if at < r.at+_relayAge {
			list = append(list, Relayed{Owner: owner, Report: r.report, At: r.at})
		}
	}
	slices.SortFunc(list, func(a, b Relayed) int {
		return cmp.Or(cmp.Compare(b.At, a.At), strings.Compare(a.Owner, b.Owner))
	})
	return list[:min(len(list), _maxRelayed)]
}

// Admits reports whether a request is admitted. Otherwise it returns when to come back;
// random is uniform from 0 to 1 and spreads the callers over time.
func (t Throttle) Admits(random float64, at time.Duration) (Throttle, time.Duration, bool) {
	elapsed := (at - t.seenAt).Seconds()
	t = t.adjust(at)
	t.seenAt = at
	if t.admitted >= 1 {
		// The rate stays as it is during trouble: callers that come back would count again.
		t.rate = t.rate*math.Exp2(-elapsed/_rateHalfLife.Seconds()) + math.Ln2/_rateHalfLife.Seconds()
		return t, 0, true
	}
	t.tokens = min(max(1, t.rate*_burstTime.Seconds()), t.tokens+t.admitted*t.rate*elapsed)
	if t.tokens >= 1 {
		t.tokens--
		return t, 0, true
	}
	return t, time.Duration((0.5 + random) * float64(_retryTime)), false
}

// failing returns the share of runs in which a call fails, and the number of recent calls.
func (t Throttle) failing(at time.Duration) (share, n float64) {
	t.recent.advance(at)
	n = t.recent.last.calls + t.recent.current.calls
	if n == 0 {
		return 0, 0
	}
	failed := t.recent.last.failed + t.recent.current.failed
	return 1 - math.Pow(1-failed/n, max(1, t.perRun)), n
}

// adjust changes the admitted share by the reports.
func (t Throttle) adjust(at time.Duration) Throttle {
	share, n := t.failing(at)
	switch {
	case n == 0 || n >= _minSample*t.admitted && share < _calmShare:
		t.troubleAt = -1
		return t.grow(at)
	case n < _minSample*t.admitted || share < _beginShare || at < t.giveUp:
		return t
	case t.troubleAt < 0:
		t.troubleAt = at
	}
	if at < t.troubleAt+_onset || t.admitted < 1 && at < t.stepAt+_settle {
		return t
	}
	if t.admitted < 1 && share > _gainShare*t.share {
		t.admitted, t.giveUp, t.stepAt = 1, at+_giveUpTime, at
		return t
	}
	if t.admitted >= 1 {
		t.share = share
	}
	t.admitted, t.stepAt = max(_minAdmit, t.admitted*_headroom*(1-share)), at
	return t
}

func (t Throttle) grow(at time.Duration) Throttle {
	if t.admitted < 1 && at >= t.stepAt+_growEvery {
		t.admitted, t.stepAt = min(1, t.admitted*_growth), at
	}
	return t
}
