package judge

import "math"

// cusum is a cumulative sum test between a healthy and a sick share of bad
// samples: healthy samples draw the sum to zero, sick ones let it grow.
type cusum struct {
	sum float64
}

// odds are the steps of the sum for a bad and a good sample.
type odds struct {
	bad  float64
	good float64
}

func oddsOf(healthy, sick float64) odds {
	return odds{
		bad:  math.Log(sick / healthy),
		good: math.Log((1 - sick) / (1 - healthy)),
	}
}

// add returns the test after one sample; the cap lets an instance that is well
// again lose its evidence soon.
func (c cusum) add(o odds, bad bool, most float64) cusum {
	step := o.good
	if bad {
		step = o.bad
	}
	c.sum = min(max(0, c.sum+step), most)
	return c
}
