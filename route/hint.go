package route

import (
	"slices"
	"time"
)

// _hintSamples is the maximum number of instances that a hint is computed from.
const _hintSamples = 64

// Hint summarises a whole service. An ingress sends it to owners with each
// request.
type Hint struct {
	// Median is the median of the instances' SuccessLatency.
	Median time.Duration
	// BodyTimePerMiB is the median transfer time of 1 MiB of a response body, or 0 if
	// unknown.
	BodyTimePerMiB time.Duration
	// FailingShare is the share of instances whose last attempt failed.
	FailingShare float64
}

// HintOf returns the hint for a pool, computed from its first _hintSamples
// instances with a successful response or a failure.
func HintOf(p Pool, t *LoadTracker) Hint {
	var latencies, bodyTimes []time.Duration
	seen, failing := 0, 0
	for _, c := range p.Candidates {
		l := t.Load(c.Key)
		if l.SuccessLatency == 0 && !l.LastFailed {
			continue
		}
		seen++
		if l.LastFailed {
			failing++
		}
		if !l.LastFailed {
			latencies = append(latencies, l.SuccessLatency)
		}
		if l.BodyTimePerMiB > 0 {
			bodyTimes = append(bodyTimes, l.BodyTimePerMiB)
		}
		if seen == _hintSamples {
			break
		}
	}
	if seen == 0 {
		return Hint{}
	}
	return Hint{
		Median:         median(latencies),
		BodyTimePerMiB: median(bodyTimes),
		FailingShare:   float64(failing) / float64(seen),
	}
}

// median returns the lower median, or 0 for an empty list. The lower one is used
// because a data centre often has just two instances of a service, and the higher
// one may be a straggler's.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
