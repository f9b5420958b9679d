package detect

import "math"

// cusum is a cumulative sum (CUSUM) test between a healthy and an unhealthy rate of
// bad samples: good samples pull the sum towards zero, bad ones add to it.
type cusum struct {
	sum float64
}

// steps are the increments of the sum for a bad and a good sample.
type steps struct {
	bad  float64
	good float64
}

func newSteps(healthy, unhealthy float64) steps {
	return steps{
		bad:  math.Log(unhealthy / healthy),
		good: math.Log((1 - unhealthy) / (1 - healthy)),
	}
}

// add returns the test after one sample; the limit lets an instance that has
// recovered lose its evidence soon.
func (c cusum) add(s steps, bad bool, limit float64) cusum {
	step := s.good
	if bad {
		step = s.bad
	}
	c.sum = min(max(0, c.sum+step), limit)
	return c
}
