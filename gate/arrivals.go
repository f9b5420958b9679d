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
	*stats = stats.with(at)
}

// with returns the statistics after one more arrival.
func (s arrivalStats) with(at time.Duration) arrivalStats {
	return arrivalStats{interval: smooth(s.interval, max(at-s.last, 1)), last: at}
}

// expected estimates how many attempts arrive within a time span.
func (s arrivalStats) expected(span, at time.Duration) float64 {
	if s.interval == 0 {
		return 0
	}
	return float64(span) / float64(max(s.interval, at-s.last))
}

// expectedAhead estimates how many attempts of classes that go first arrive
// within a time span.
func (a arrivals) expectedAhead(class int, span, at time.Duration) float64 {
	n := 0.0
	for c, stats := range a {
		if c < class {
			n += stats.expected(span, at)
		}
	}
	return n
}
