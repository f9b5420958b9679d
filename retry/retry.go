package retry

import "time"

// Execution tells whether an attempt was executed by an instance.
type Execution string

const (
	// Executed means that the attempt was executed and answered.
	Executed Execution = "ran"
	// NotExecuted means that the attempt was provably not executed and never will be.
	NotExecuted Execution = "notrun"
	// Unknown means that the attempt may have been executed.
	Unknown Execution = "unknown"
)

const (
	// _maxDeliveries is how many instances may get a request unless its route sets
	// another number.
	_maxDeliveries = 4
	// _maxAttempts is how many owners are tried for a request.
	_maxAttempts = 64
	// _minTimeLeft is the shortest time before the deadline in which a retry is sent.
	_minTimeLeft = 2 * time.Millisecond
)

// Attempt is the input of a decision: a failed attempt and its request.
type Attempt struct {
	Execution Execution
	// Once marks a request that is not idempotent.
	Once bool
	// Replayable reports whether the request's body can be sent again.
	Replayable bool
	// Attempts is the number of attempts so far, and Deliveries how many of them may
	// have reached an instance.
	Attempts   int
	Deliveries int
	// MaxDeliveries is the maximum number of deliveries, or 0 for the default.
	MaxDeliveries int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Target is the time within which the response has its full value, 0 if unknown.
	Target time.Duration
}

// Decision tells whether to retry an attempt, and why.
type Decision struct {
	Retry  bool
	Reason string
}

// Decide reports whether an attempt may be retried.
func Decide(a Attempt) Decision {
	switch {
	case a.Execution == Executed:
		return Decision{Reason: "answered"}
	case a.Execution == Unknown && a.Once:
		return Decision{Reason: "may have run"}
	case !a.Replayable:
		return Decision{Reason: "body is gone"}
	case a.Attempts >= _maxAttempts, a.Deliveries >= a.maxDeliveries():
		return Decision{Reason: "tries"}
	case a.TimeLeft < _minTimeLeft:
		return Decision{Reason: "deadline"}
	}
	return Decision{Retry: true, Reason: string(a.Execution)}
}

func (a Attempt) maxDeliveries() int {
	if a.MaxDeliveries == 0 {
		return _maxDeliveries
	}
	return a.MaxDeliveries
}
