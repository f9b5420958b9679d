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

// HintOf returns the median time of good answers and the share of failing instances among a
// pool's first instances that have answered.
func HintOf(p Pool, b *Book) Hint {
	var took []time.Duration
	seen, failing := 0, 0
	for _, c := range p.Candidates {
		l := b.Load(c.Key)
		if l.Last == 0 && !l.Failing {
			continue
		}
		seen++
		if l.Failing {
			failing++
		}
		if !l.Failing {
			took = append(took, l.Last)
		}
		if seen == _hintSamples {
			break
		}
	}
	if seen == 0 {
		return Hint{}
	}
	hint := Hint{Failing: float64(failing) / float64(seen)}
	if len(took) > 0 {
		slices.Sort(took)
		hint.Median = took[len(took)/2]
	}
	return hint
}
