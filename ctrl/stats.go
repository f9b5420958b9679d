package ctrl

import (
	"github.com/uber-go/tally/v4"

	"github.com/damaskpitch/damaskpitch/meter"
)

// stats holds the metrics of a control host.
type stats struct {
	writes      tally.Counter   // confirmed writes
	conflicts   tally.Counter   // writes rejected because of a revision mismatch
	invalid     tally.Counter   // writes rejected as invalid
	unconfirmed tally.Counter   // writes that failed or were not confirmed in time
	skipped     tally.Counter   // log entries that cannot be decoded
	failedReads tally.Counter   // reads rejected because the state was not up to date
	confirm     tally.Histogram // time from receiving a write to its confirmation
}

func newStats(scope tally.Scope) stats {
	return stats{
		writes:      scope.Counter("writes"),
		conflicts:   scope.Counter("conflicts"),
		invalid:     scope.Counter("invalid"),
		unconfirmed: scope.Counter("unsure"),
		skipped:     scope.Counter("skipped"),
		failedReads: scope.Counter("unread"),
		confirm:     scope.Histogram("confirm_seconds", meter.LatencyBuckets()),
	}
}
