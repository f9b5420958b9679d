package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	_reportInterval = time.Second

	// The bucket bounds of a duration histogram double from 1 ms to 16 s: from
	// less than a hop between data centres to more than callers wait.
	_minDuration = time.Millisecond
	_bucketCount = 15
)

// LatencyBuckets returns the bucket bounds of a duration histogram.
func LatencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(_minDuration, 2, _bucketCount)
}

// Meter holds the metrics of a process.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process; their names begin with damaskpitch_ and
// its role.
func New(role string) Meter {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "damaskpitch_" + role,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, _reportInterval)
	return Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and stops reporting.
func (m Meter) Close() error {
	return m.closer.Close()
}
