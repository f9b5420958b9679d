package study

import "time"

// Fault describes how a faulty instance handles requests.
type Fault struct {
	// Name identifies the fault in tables.
	Name string
	// ErrorRate is the fraction of requests that fail.
	ErrorRate float64
	// Slowdown multiplies request times; 0 and 1 mean none.
	Slowdown float64
	// Hang is set if requests never complete.
	Hang bool
	// Period is the cycle of an intermittent fault, which is active in the first
	// half of each cycle; 0 means that the fault is permanent.
	Period time.Duration
}

// Crash returns a fault that fails every request.
func Crash() Fault { return Fault{Name: "crash", ErrorRate: 1} }

// Errors returns a fault that fails a fraction of the requests.
func Errors(rate float64) Fault { return Fault{Name: "errors", ErrorRate: rate} }

// Slow returns a fault that multiplies the time of each request.
func Slow(factor float64) Fault { return Fault{Name: "straggler", Slowdown: factor} }

// Hang returns a fault that never completes a request.
func Hang() Fault { return Fault{Name: "hang", Hang: true} }

// Flapping returns a fault that fails half of the requests in the first half of
// each period.
func Flapping(period time.Duration) Fault {
	return Fault{Name: "flapper", ErrorRate: 0.5, Period: period}
}

// at returns the fault that is active at a time after the onset; it is the zero
// Fault in the healthy half of an intermittent fault's period.
func (f Fault) at(since time.Duration) Fault {
	if f.Period > 0 && since%f.Period >= f.Period/2 {
		return Fault{}
	}
	return f
}

// Noise describes the normal variation of healthy instances.
type Noise struct {
	// Name identifies the noise in tables.
	Name string
	// ErrorRate is the fraction of requests that fail on a healthy instance.
	ErrorRate float64
	// Spread is the standard deviation of the logarithm of a request's time.
	Spread float64
	// Every SpikeEvery, all instances slow down by SpikeSlowdown for SpikeFor.
	SpikeEvery    time.Duration
	SpikeFor      time.Duration
	SpikeSlowdown float64
	// Every ColdEvery, each instance restarts, and its requests take ColdSlowdown
	// times longer for ColdFor, while it warms up.
	ColdEvery    time.Duration
	ColdFor      time.Duration
	ColdSlowdown float64
}

// BaselineNoise returns the noise of normal operation.
func BaselineNoise() Noise { return Noise{Name: "healthy noise", ErrorRate: 0.005, Spread: 0.5} }

// LoadSpikes returns baseline noise with short slowdowns of the whole service.
func LoadSpikes() Noise {
	n := BaselineNoise()
	n.Name = "load spikes"
	n.SpikeEvery, n.SpikeFor, n.SpikeSlowdown = 5*time.Minute, 10*time.Second, 4
	return n
}

// ColdStarts returns baseline noise with restarts, after which requests are slow.
func ColdStarts() Noise {
	n := BaselineNoise()
	n.Name = "cold starts"
	n.ColdEvery, n.ColdFor, n.ColdSlowdown = 10*time.Minute, 5*time.Second, 5
	return n
}

// spikeSlowdown returns the factor by which the whole service is slower at a time.
func (n Noise) spikeSlowdown(at time.Duration) float64 {
	if n.SpikeEvery > 0 && at%n.SpikeEvery < n.SpikeFor && at >= n.SpikeEvery {
		return n.SpikeSlowdown
	}
	return 1
}

// coldSlowdown returns the factor by which an instance of an age is slower.
func (n Noise) coldSlowdown(age time.Duration) float64 {
	if age < n.ColdFor {
		return n.ColdSlowdown
	}
	return 1
}
