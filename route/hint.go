package route

import (
	"slices"
	"time"
)

const _hintSamples = 64

// Hint is what an ingress tells owners about the whole service.
type Hint struct {
	Median  time.Duration
	Failing float64
}

// HintOf returns the median time and the share of failing instances among a
// pool's first instances that have answered.
func HintOf(p Pool, b *Book) Hint {
	var took []time.Duration
	failing := 0
	for _, c := range p.Candidates {
		l := b.Load(c.Key)
		if l.Took == 0 && !l.Failing {
			continue
		}
		took = append(took, l.Took)
		if l.Failing {
			failing++
		}
		if len(took) == _hintSamples {
			break
		}
	}
	if len(took) == 0 {
		return Hint{}
	}
	slices.Sort(took)
	return Hint{
		Median:  took[len(took)/2],
		Failing: float64(failing) / float64(len(took)),
	}
}
