package retry

const (
	_ratio   = 0.1
	_reserve = 3.0
	_most    = 50.0
)

// Budget bounds retries to a share of the first attempts.
type Budget struct {
	spent  float64
	earned float64
}

// First returns the budget after one more first attempt.
func (b Budget) First() Budget {
	b.earned = min(b.earned+_ratio, b.spent+_most)
	return b
}

// Spend returns the budget after one retry, and whether that was allowed.
func (b Budget) Spend() (Budget, bool) {
	if b.spent+1 > b.earned+_reserve {
		return b, false
	}
	b.spent++
	return b, true
}
