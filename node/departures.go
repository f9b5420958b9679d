package node

import (
	"maps"
	"time"

	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// _departureMemory is how long an ingress remembers that an instance leaves. An instance
// ends some seconds after it has said so.
const _departureMemory = 5 * time.Minute

// departures are the instances that have said in a response to this ingress that they
// leave. The ingress keeps away from them even if their owner has restarted and does not
// know of it.
type departures map[view.Key]departure

// departure is one start of an instance, and until when it is remembered.
type departure struct {
	born  int64
	until time.Duration
}

// with returns the departures with an instance added and the old ones dropped.
func (d departures) with(c route.Candidate, at time.Duration) departures {
	next := maps.Clone(d)
	if next == nil {
		next = departures{}
	}
	maps.DeleteFunc(next, func(_ view.Key, old departure) bool { return at >= old.until })
	next[c.Key] = departure{born: c.Born, until: at + _departureMemory}
	return next
}

// exclude marks the instances in the list that have left, unless they have started again.
func (d departures) exclude(list []route.Candidate) []route.Candidate {
	if len(d) == 0 {
		return list
	}
	for i, c := range list {
		if left, ok := d[c.Key]; ok && left.born == c.Born {
			list[i].Excluded = true
		}
	}
	return list
}

// recordDeparture keeps further requests away from the instance of a response that says
// that it leaves.
func (e *exchange) recordDeparture(res *attemptResult) {
	if res.response == nil {
		return
	}
	if n, _ := e.server.headers.parseNotice(res.response.Header); !n.leaving {
		return
	}
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	e.service.left = e.service.left.with(res.choice.Candidate, e.server.now())
	e.service.pool = e.service.pool.WithExcluded(res.choice.Candidate.Key)
}
