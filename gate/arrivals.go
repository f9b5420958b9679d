package gate

import "time"

// class returns the scheduling class of an attempt, lower first: within a
// priority, nested calls go before other requests.
func (msg AdmitMsg) class() int {
	if msg.Nested {
		return 2 * msg.Priority
	}
	return 2*msg.Priority + 1
}

// arrivals tracks the arrival rate of one instance's attempts by class.
type arrivals map[int]*arrivalStats

// arrivalStats is the arrival rate of one class.
type arrivalStats struct {
	interval time.Duration // moving average between arrivals
	last     time.Duration
}

// observe records one arrival.
func (a arrivals) observe(class int, at time.Duration) {
	stats := a[class]
	if stats == nil {
		a[class] = &arrivalStats{last: at}
		return
	}
	stats.interval = smooth(stats.interval, max(at-stats.last, 1))
	stats.last = at
}

// expectedAhead estimates how many attempts of classes that go first arrive
// within a time span.
func (a arrivals) expectedAhead(class int, span, at time.Duration) float64 {
	n := 0.0
	for c, stats := range a {
		if c < class && stats.interval > 0 {
			n += float64(span) / float64(max(stats.interval, at-stats.last))
		}
	}
	return n
}
