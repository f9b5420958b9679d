package retry

import "time"

const (
	// The delay is _hedgeFactor times the median, and at least _hedgeMinDelay longer
	// than the median.
	_hedgeFactor   = 3
	_hedgeMinDelay = 15 * time.Millisecond
	// _hedgeTargetShare is the share of its target after which a request of unknown latency
	// may be hedged. The second attempt has as much time as the first had.
	_hedgeTargetShare = 0.5
)

// HedgeDelay returns how long to wait for a response before a second attempt may be
// sent concurrently, or false if none may be sent. The delay is longer than the
// time after which owners count a request as slow, so that a straggler is still
// noticed when its attempt is cancelled.
func HedgeDelay(a Attempt, median time.Duration) (time.Duration, bool) {
	if a.Once || !a.Replayable || a.Attempts >= _maxAttempts || a.Deliveries+1 >= a.maxDeliveries() {
		return 0, false
	}
	if median == 0 {
		delay := time.Duration(_hedgeTargetShare * float64(a.Target))
		return delay, delay > 0 && a.TimeLeft > 2*delay
	}
	delay := max(_hedgeFactor*median, median+_hedgeMinDelay)
	return delay, a.TimeLeft > delay+median
}
