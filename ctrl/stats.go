package ctrl

import (
	"github.com/uber-go/tally/v4"

	"github.com/damaskpitch/damaskpitch/meter"
)

// stats are a control host's counters.
type stats struct {
	writes    tally.Counter   // that were confirmed
	conflicts tally.Counter   // writes over another revision
	invalid   tally.Counter   // writes that are refused for what they say
	unsure    tally.Counter   // writes that were not confirmed in time
	unread    tally.Counter   // reads that this host could not answer for the present
	confirm   tally.Histogram // from a write's coming until it is confirmed
}

func newStats(scope tally.Scope) stats {
	return stats{
		writes:    scope.Counter("writes"),
		conflicts: scope.Counter("conflicts"),
		invalid:   scope.Counter("invalid"),
		unsure:    scope.Counter("unsure"),
		unread:    scope.Counter("unread"),
		confirm:   scope.Histogram("confirm_seconds", meter.LatencyBuckets()),
	}
}
