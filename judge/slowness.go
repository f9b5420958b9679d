package judge

import "time"

const (
	_typicalSmooth = 0.2

	// _slowTypical is how many medians an instance takes at the least by its
	// own smoothed time: when all slow down at once, the median follows, but
	// evidence against an older one is still there.
	_slowTypical = 2.0
)

// slowness is the evidence that an instance takes longer than others do.
type slowness struct {
	evidence cusum
	typical  time.Duration // smoothed
}

// add takes one more measured time.
func (s slowness) add(took, limit time.Duration, most float64) slowness {
	if s.typical == 0 {
		s.typical = took
	}
	s.typical += time.Duration(_typicalSmooth * float64(took-s.typical))
	s.evidence = s.evidence.add(_slowOdds, took > limit, most)
	return s
}

// sick reports whether there is enough evidence, and the instance is still
// slow against the median of now.
func (s slowness) sick(evidence float64, median time.Duration) bool {
	return s.evidence.sum >= evidence && float64(s.typical) > _slowTypical*float64(median)
}
