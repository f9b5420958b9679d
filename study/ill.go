package study

import "time"

// Ill is how an instance treats requests at a time since its illness began.
type Ill struct {
	// Name tells the illness in tables.
	Name string
	// Failing is the share of requests that fail.
	Failing float64
	// Slower is the factor on a request's time, 0 or 1 for none.
	Slower float64
	// Hang says that requests never end.
	Hang bool
	// Period is the time of one sick and healthy turn of a flapper, each half
	// of it.
	Period time.Duration
}

// Crash refuses every request.
func Crash() Ill { return Ill{Name: "crash", Failing: 1} }

// Errors fails a share of the requests.
func Errors(share float64) Ill { return Ill{Name: "errors", Failing: share} }

// Slow takes a factor longer for each request.
func Slow(factor float64) Ill { return Ill{Name: "straggler", Slower: factor} }

// Hang never answers.
func Hang() Ill { return Ill{Name: "hang", Hang: true} }

// Flap fails half of the requests in every other half period.
func Flap(period time.Duration) Ill {
	return Ill{Name: "flapper", Failing: 0.5, Period: period}
}

// at returns the illness at a time since it began; a flapper rests in turns.
func (i Ill) at(since time.Duration) Ill {
	if i.Period > 0 && since%i.Period >= i.Period/2 {
		return Ill{}
	}
	return i
}

// Noise is what healthy instances do now and then.
type Noise struct {
	// Name tells the noise in tables.
	Name string
	// Failing is the share of requests that fail on a healthy instance.
	Failing float64
	// Spread is the standard deviation of the logarithm of a request's time.
	Spread float64
	// SpikeEvery and SpikeFor are when every instance slows down together.
	SpikeEvery time.Duration
	SpikeFor   time.Duration
	SpikeBy    float64
	// ColdEvery is the time between restarts of the instance, whose requests
	// take ColdBy longer while it warms up.
	ColdEvery time.Duration
	ColdFor   time.Duration
	ColdBy    float64
}

// Calm is the noise of an ordinary day.
func Calm() Noise { return Noise{Name: "healthy noise", Failing: 0.005, Spread: 0.5} }

// Spikes are short slow times of the whole service.
func Spikes() Noise {
	n := Calm()
	n.Name = "load spikes"
	n.SpikeEvery, n.SpikeFor, n.SpikeBy = 5*time.Minute, 10*time.Second, 4
	return n
}

// Colds are restarts with slow first requests.
func Colds() Noise {
	n := Calm()
	n.Name = "cold starts"
	n.ColdEvery, n.ColdFor, n.ColdBy = 10*time.Minute, 5*time.Second, 5
	return n
}

// spike is the factor that the whole service is slower by at a time.
func (n Noise) spike(at time.Duration) float64 {
	if n.SpikeEvery > 0 && at%n.SpikeEvery < n.SpikeFor && at >= n.SpikeEvery {
		return n.SpikeBy
	}
	return 1
}

// cold is the factor that an instance is slower by at an age.
func (n Noise) cold(age time.Duration) float64 {
	if age < n.ColdFor {
		return n.ColdBy
	}
	return 1
}
