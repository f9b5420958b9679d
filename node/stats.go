package node

import (
	"github.com/uber-go/tally/v4"

	"github.com/damaskpitch/damaskpitch/meter"
)

// stats holds the node's metrics.
type stats struct {
	requests  tally.Counter
	attempts  tally.Counter
	retries   tally.Counter
	repeats   tally.Counter // attempts that reached an instance here and are likely repeats
	hedges    tally.Counter
	refused   tally.Counter
	unknown   tally.Counter
	broken    tally.Counter
	resumed   tally.Counter
	silent    tally.Counter
	recovered tally.Counter
	ejections tally.Counter
	denied    tally.Counter
	keyless   tally.Counter // requests refused for want of a customer's key
	capped    tally.Counter // requests refused because their customer is over its cap
	overdrawn tally.Counter // requests accepted without a token
	unleased  tally.Counter // requests refused because the plan may be out of date
	started   tally.Counter
	scope     tally.Scope

	pipelined          tally.Counter // requests of callers that started before their turn
	pipelinedCancelled tally.Counter // of these, those whose connection closed first
	bodiesRefused      tally.Counter // requests refused, as there was no room for their bodies
	pipelinedAgain     tally.Counter // of these, those that were served again in their turn
	pipelinedBytes     tally.Gauge   // held for pipelined requests

	rev  tally.Gauge
	plan tally.Gauge // version of the plan in force

	answer  tally.Histogram // from a request's arrival until its whole response is sent
	refusal tally.Histogram // from a request's arrival until it is refused
	wait    tally.Histogram // of an attempt for a slot at the instance
	work    tally.Histogram // of an instance until its response starts
}

func newStats(scope tally.Scope) stats {
	return stats{
		requests:  scope.Counter("requests"),
		attempts:  scope.Counter("attempts"),
		retries:   scope.Counter("retries"),
		repeats:   scope.Counter("repeats"),
		hedges:    scope.Counter("hedges"),
		refused:   scope.Counter("refused"),
		unknown:   scope.Counter("unknown"),
		broken:    scope.Counter("broken"),
		resumed:   scope.Counter("resumed"),
		silent:    scope.Counter("silent"),
		recovered: scope.Counter("recovered"),
		ejections: scope.Counter("ejections"),
		denied:    scope.Counter("denied"),
		keyless:   scope.Counter("keyless"),
		capped:    scope.Counter("capped"),
		overdrawn: scope.Counter("overdrawn"),
		unleased:  scope.Counter("unleased"),
		started:   scope.Counter("started"),

		pipelined:          scope.Counter("pipelined"),
		pipelinedCancelled: scope.Counter("pipelined_cancelled"),
		bodiesRefused:      scope.Counter("bodies_refused"),
		pipelinedAgain:     scope.Counter("pipelined_again"),
		pipelinedBytes:     scope.Gauge("pipelined_bytes"),

		scope: scope,
		rev:   scope.Gauge("revision"),
		plan:  scope.Gauge("plan"),

		answer:  scope.Histogram("answer_seconds", meter.LatencyBuckets()),
		refusal: scope.Histogram("refusal_seconds", meter.LatencyBuckets()),
		wait:    scope.Histogram("wait_seconds", meter.LatencyBuckets()),
		work:    scope.Histogram("work_seconds", meter.LatencyBuckets()),
	}
}

// refusedAttempt counts an attempt that this owner refused, by reason.
func (s stats) refusedAttempt(reason string) {
	s.scope.Tagged(map[string]string{"reason": reason}).Counter("refused_attempts").Inc(1)
}
