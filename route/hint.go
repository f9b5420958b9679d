package route

import (
	"slices"
	"time"
)

const _hintSamples = 64

// Hint is what an ingress tells owners about the whole service.
type Hint struct {
	Median time.Duration
	// Pace is the median time for a MiB of an answer's body, or 0.
	Pace    time.Duration
	Failing float64
}

// HintOf returns what a pool's first instances that have answered have in the
// middle, and the share of them that fail.
func HintOf(p Pool, b *Book) Hint {
	var took, pace []time.Duration
	seen, failing := 0, 0
	for _, c := range p.Candidates {
		l := b.Load(c.Key)
		if l.Good == 0 && !l.Failing {
			continue
		}
		seen++
		if l.Failing {
			failing++
		}
		if !l.Failing {
			took = append(took, l.Good)
		}
		if l.Pace > 0 {
			pace = append(pace, l.Pace)
		}
		if seen == _hintSamples {
			break
		}
	}
	if seen == 0 {
		return Hint{}
	}
	return Hint{
		Median:  median(took),
		Pace:    median(pace),
		Failing: float64(failing) / float64(seen),
	}
}

// median returns the middle time, or 0 of none. It is the earlier one of two: a
// data centre often has just two instances of a service, and the later one may
// be a straggler.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
