package route

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _latencyWeight is the weight of a new sample in Load.Latency.
	_latencyWeight = 0.2

	// _increaseWeight and _decreaseWeight are the weights of new samples that are
	// above and below a smoothed latency.
	_increaseWeight = 0.4
	_decreaseWeight = 0.15

	// _latencyHalfLife is the time in which the weight of the earlier samples in
	// Load.Latency halves.
	_latencyHalfLife = time.Second
)

// Load is what an ingress knows about one instance, mostly from its responses.
type Load struct {
	// InFlight is the number of this ingress's attempts in flight.
	InFlight int
	// Active is the number of running and queued attempts that the owner reported
	// at ReportedAt.
	Active     int
	ReportedAt time.Duration
	// Latency is the smoothed latency of successful responses, and of abandoned
	// attempts if they took longer.
	Latency time.Duration
	// SuccessLatency is the smoothed latency of successful responses alone. It rises
	// faster than it falls.
	SuccessLatency time.Duration
	// BodyTimePerMiB is the smoothed transfer time of 1 MiB of a response body as
	// reported by the owner, or 0 if unknown.
	BodyTimePerMiB time.Duration
	// LastFailed reports whether the last attempt failed: its response was a server
	// error, or it is unknown whether it was executed.
	LastFailed bool
	// AvoidUntil is the time until which the instance is avoided because its owner
	// reported it unhealthy.
	AvoidUntil time.Duration
	// RefusesUntil is the time until which the owner refuses requests that another
	// instance could serve.
	RefusesUntil time.Duration

	measuredAt time.Duration // time of the last sample in Latency
}

// merge is when a report of another node was taken over, and of which.
type merge struct {
	at   time.Duration
	from string
}

// LoadTracker holds what an ingress knows about the instances of a service. It
// is not safe for concurrent use.
type LoadTracker struct {
	loads   map[view.Key]Load
	avoided []view.Key
	told    map[string]time.Duration // when a node was last told of the loads
	merged  map[view.Key]merge       // latest report of another node; not in Load, which choices copy

	balance  Balance      // between the other data centres
	measured []CenterRoom // reused by measureRooms
}

// NewLoadTracker returns an empty tracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{loads: map[view.Key]Load{}}
}

// Load returns what is known about an instance.
func (t *LoadTracker) Load(k view.Key) Load {
	return t.loads[k]
}

// Update changes what is known about an instance.
func (t *LoadTracker) Update(k view.Key, edit func(*Load)) {
	l := t.loads[k]
	edit(&l)
	t.loads[k] = l
	if l.AvoidUntil > 0 && !slices.Contains(t.avoided, k) {
		t.avoided = append(t.avoided, k)
	}
}

// shouldAvoid reports whether an instance is among the first limit instances to be
// avoided. Those beyond the limit are used, since too few would be left otherwise.
func (t *LoadTracker) shouldAvoid(k view.Key, at time.Duration, limit int) bool {
	if !slices.Contains(t.avoided, k) {
		return false
	}
	t.avoided = slices.DeleteFunc(t.avoided, func(s view.Key) bool {
		return at >= t.loads[s].AvoidUntil
	})
	rank := slices.Index(t.avoided, k)
	return rank >= 0 && rank < limit
}

// Retain drops the instances that are not in the pool.
func (t *LoadTracker) Retain(p Pool) {
	if len(t.loads) == 0 {
		return
	}
	in := make(map[view.Key]bool, len(p.Candidates))
	for _, c := range p.Candidates {
		in[c.Key] = true
	}
	gone := func(k view.Key) bool { return !in[k] }
	maps.DeleteFunc(t.loads, func(k view.Key, _ Load) bool { return gone(k) })
	maps.DeleteFunc(t.merged, func(k view.Key, _ merge) bool { return gone(k) })
	t.avoided = slices.DeleteFunc(t.avoided, gone)
}

// WithMinLatency returns the load after an attempt was abandoned: its latency would
// have been longer than elapsed. SuccessLatency stays, since there was no response.
func (l Load) WithMinLatency(elapsed time.Duration) Load {
	if elapsed > l.Latency {
		l.Latency += time.Duration(_latencyWeight * float64(elapsed-l.Latency))
	}
	return l
}

// WithLatency returns the load with one more latency sample. Earlier samples lose
// weight with age.
func (l Load) WithLatency(at, latency time.Duration) Load {
	if l.Latency == 0 {
		l.Latency = latency
	}
	if l.SuccessLatency == 0 {
		l.SuccessLatency = max(latency, 1)
	}
	l.SuccessLatency = smooth(l.SuccessLatency, max(latency, 1))
	age := float64(at-l.measuredAt) / float64(_latencyHalfLife)
	old := (1 - _latencyWeight) * math.Exp2(-age)
	l.Latency += time.Duration((1 - old) * float64(latency-l.Latency))
	l.measuredAt = at
	return l
}

// smooth returns the geometric moving average after a new sample. It rises faster
// than it falls: when all instances slow down at once, none must look slow against
// earlier samples of the others.
func smooth(average, sample time.Duration) time.Duration {
	weight := _decreaseWeight
	if sample > average {
		weight = _increaseWeight
	}
	return time.Duration(float64(average) * math.Pow(float64(sample)/float64(average), weight))
}
