package study

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

// HedgeConfig sets up a run of requests of which one instance stalls some.
type HedgeConfig struct {
	Requests  int
	Instances int
	// Median and Spread are of a request's time, which is log-normal.
	Median time.Duration
	Spread float64
	// Stalls is the share of the first instance's requests that take Factor
	// times longer.
	Stalls float64
	Factor float64
	// Off sends no second attempts.
	Off  bool
	Seed uint64
}

// HedgeResult is what the requests took, and the attempts for each.
type HedgeResult struct {
	P50      time.Duration
	P99      time.Duration
	Attempts float64
}

// Hedge sends requests to random instances and a late one to another as well,
// within the budget of retries.
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
		if cfg.Off || !allowed || first <= after {
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

// draw returns the time of one attempt at an instance.
func (cfg HedgeConfig) draw(rng *rand.Rand, instance int) time.Duration {
	d := float64(cfg.Median) * math.Exp(cfg.Spread*rng.NormFloat64())
	if instance == 0 && rng.Float64() < cfg.Stalls {
		d *= cfg.Factor
	}
	return time.Duration(d)
}
