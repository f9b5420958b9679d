package retry

import "time"

const (
	// The default quota of a service without a fleet-wide budget: a tenth of its
	// requests, plus a few at the start.
	_defaultRatio   = 0.1
	_defaultInitial = 3.0
	_defaultBurst   = 50.0

	// _visibleShare is the share of the fleet-wide budget that nodes may use. The rest
	// covers what they cannot tell of calls that retried requests make again.
	_visibleShare = 0.7
	// _refillShare is the share of the slack that refills at a constant rate. The rest
	// may be held in the nodes' budgets at the start of a window.
	_refillShare = 0.4
	// _initialRetries is what a new budget of a node holds. When many processes start at
	// once, each knows few others yet, and its share of the slack looks large.
	_initialRetries = 1.0
)

// Quota configures the token bucket that limits the retries of one node.
type Quota struct {
	// PerRequest is the number of tokens added for each request.
	PerRequest float64
	// PerSecond is the number of tokens added per second.
	PerSecond float64
	// Burst is the capacity of the bucket.
	Burst float64
	// Initial is the number of tokens in a new bucket.
	Initial float64
}

// DefaultQuota returns the quota of a node without a fleet-wide budget.
func DefaultQuota() Quota {
	return Quota{PerRequest: _defaultRatio, Burst: _defaultBurst, Initial: _defaultInitial}
}

// NodeQuota returns the quota of each of n nodes under a fleet-wide budget. In each
// window, the budget allows a ratio of the requests plus slack retries.
func NodeQuota(ratio float64, slack int, window time.Duration, n int) Quota {
	each := float64(slack) / float64(max(n, 1))
	each *= _visibleShare
	burst := max(1, (1-_refillShare)*each)
	return Quota{
		PerRequest: _visibleShare * ratio,
		PerSecond:  max(0, min(_refillShare*each, each-burst)) / max(window.Seconds(), 1),
		Burst:      burst,
		Initial:    min(_initialRetries, each),
	}
}

// Budget is a token bucket that limits retries. The zero value is ready to use.
type Budget struct {
	tokens      float64
	updatedAt   time.Duration
	initialized bool
}

// AddRequest returns the budget after the first attempt of a request.
func (b Budget) AddRequest(q Quota, at time.Duration) Budget {
	return b.AddCall(q, at, 0)
}

// AddCall returns the budget after the first attempt of a call that is made, with the given
// likelihood, by a run that was itself a retry. A budget may owe as much as it may hold.
func (b Budget) AddCall(q Quota, at time.Duration, likelihood float64) Budget {
	b = b.refill(q, at)
	b.tokens += (1-likelihood)*q.PerRequest - likelihood
	b.tokens = max(-q.Burst, min(b.tokens, q.Burst))
	return b
}

// TakeRetry takes a token for a retry. It returns the remaining budget and whether
// the retry is allowed.
func (b Budget) TakeRetry(q Quota, at time.Duration) (Budget, bool) {
	b = b.refill(q, at)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

func (b Budget) refill(q Quota, at time.Duration) Budget {
	if !b.initialized {
		return Budget{tokens: q.Initial, updatedAt: at, initialized: true}
	}
	b.tokens = min(b.tokens+q.PerSecond*(at-b.updatedAt).Seconds(), q.Burst)
	b.updatedAt = at
	return b
}
