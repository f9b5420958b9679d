package drain

import "time"

const (
	// _durationWeight is the weight of a new sample in the moving averages.
	_durationWeight = 0.1
	// _deviations is how many mean deviations above the mean a long duration is.
	_deviations = 4
)

// Durations describes how long work takes. The zero value knows nothing.
type Durations struct {
	mean, deviation time.Duration
}

// With returns the durations with one more sample.
func (d Durations) With(sample time.Duration) Durations {
	if d.mean == 0 {
		return Durations{mean: max(sample, 1), deviation: sample / 2}
	}
	difference := sample - d.mean
	d.mean = max(1, d.mean+time.Duration(_durationWeight*float64(difference)))
	d.deviation += time.Duration(_durationWeight * float64(max(difference, -difference)-d.deviation))
	return d
}

// Long returns a duration that few exceed, or 0 if nothing is known.
func (d Durations) Long() time.Duration {
	return d.mean + _deviations*d.deviation
}
