package study

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

// HedgeConfig configures a simulation in which one instance stalls some of its
// requests.
type HedgeConfig struct {
	Requests  int
	Instances int
	// Median and Spread describe the log-normal distribution of request times.
	Median time.Duration
	Spread float64
	// StallRate is the fraction of the first instance's requests that take
	// StallFactor times longer.
	StallRate   float64
	StallFactor float64
	// Disabled turns hedging off.
	Disabled bool
	Seed     uint64
}

// HedgeResult holds latency percentiles and the mean number of attempts per
// request.
type HedgeResult struct {
	P50      time.Duration
	P99      time.Duration
	Attempts float64
}

// Hedge simulates requests to random instances. A request that takes too long
// is also sent to another instance, within the retry budget.
func Hedge(cfg HedgeConfig) HedgeResult {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var budget retry.Budget
	attempts := 0
	took := make([]time.Duration, 0, cfg.Requests)
	for range cfg.Requests {
		budget = budget.AddRequest(retry.DefaultQuota(), 0)
		attempts++
		at := rng.IntN(cfg.Instances)
		first := cfg.draw(rng, at)
		after, allowed := retry.HedgeDelay(retry.Attempt{Replayable: true, Attempts: 1, TimeLeft: time.Hour}, cfg.Median)
		if cfg.Disabled || !allowed || first <= after {
			took = append(took, first)
			continue
		}
		next, granted := budget.TakeRetry(retry.DefaultQuota(), 0)
		budget = next
		if !granted {
			took = append(took, first)
			continue
		}
		attempts++
		second := cfg.draw(rng, (at+1+rng.IntN(cfg.Instances-1))%cfg.Instances)
		took = append(took, min(first, after+second))
	}
	slices.Sort(took)
	return HedgeResult{
		P50:      took[len(took)/2],
		P99:      took[len(took)*99/100],
		Attempts: float64(attempts) / float64(cfg.Requests),
	}
}

// draw returns a random duration of an attempt on an instance.
func (cfg HedgeConfig) draw(rng *rand.Rand, instance int) time.Duration {
	d := float64(cfg.Median) * math.Exp(cfg.Spread*rng.NormFloat64())
	if instance == 0 && rng.Float64() < cfg.StallRate {
		d *= cfg.StallFactor
	}
	return time.Duration(d)
}
