package detect

import "time"

const (
	_ewmaWeight = 0.2

	// _minSlowdown is the least ratio of an instance's average time to the median at
	// which it counts as unhealthy: if all instances slow down at once, the median
	// follows, but evidence collected against an older median is still there.
	_minSlowdown = 2.0
)

// slowness is the evidence that an instance is slower than the others.
type slowness struct {
	evidence cusum
	average  time.Duration // moving average
}

// add adds one measured time.
func (s slowness) add(sample, limit time.Duration, evidenceCap float64) slowness {
	if s.average == 0 {
		s.average = sample
	}
	s.average += time.Duration(_ewmaWeight * float64(sample-s.average))
	s.evidence = s.evidence.add(_slowSteps, sample > limit, evidenceCap)
	return s
}

// unhealthy reports whether the evidence reaches the threshold and the instance is
// still slow against the current median.
func (s slowness) unhealthy(threshold float64, median time.Duration) bool {
	return s.evidence.sum >= threshold && float64(s.average) > _minSlowdown*float64(median)
}
