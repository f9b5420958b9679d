package node

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/damaskpitch/damaskpitch/plan"
)

const (
	// _maxNamed is the number of customers that have counters of their own.
	_maxNamed      = 20
	_otherCustomer = "other"
)

// customerEvent is what is counted by customer.
type customerEvent int

const (
	_customerRequests customerEvent = iota
	_customerRefused
	_customerEvents // number of kinds
)

// customerCounters counts requests by customer. The zero value is empty.
type customerCounters struct {
	mu    sync.RWMutex
	named map[string]*[_customerEvents]tally.Counter
	other *[_customerEvents]tally.Counter
}

// countCustomer counts a request of a customer: under its name if it is one of the largest
// by their caps, or together with the rest.
func (s *Server) countCustomer(name string, event customerEvent) {
	c := &s.usage.counters
	c.mu.RLock()
	counters := c.named[name]
	if counters == nil {
		counters = c.other
	}
	c.mu.RUnlock()
	if counters != nil {
		counters[event].Inc(1)
	}
}

// nameLargest gives the largest customers of a plan counters of their own. Names are never
// given up, so that their number is bounded for the life of the process.
func (s *Server) nameLargest(customers []plan.Customer) {
	c := &s.usage.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.other == nil {
		c.named = map[string]*[_customerEvents]tally.Counter{}
		c.other = s.customerCounters(_otherCustomer)
	}
	largest := slices.SortedStableFunc(slices.Values(customers), func(a, b plan.Customer) int { return cmp.Compare(size(b), size(a)) })
	for _, customer := range largest[:min(len(largest), _maxNamed)] {
		if len(c.named) >= _maxNamed {
			return
		}
		if c.named[customer.Name] == nil {
			c.named[customer.Name] = s.customerCounters(customer.Name)
		}
	}
}

// size orders customers by their caps. One without a cap has no bound.
func size(c plan.Customer) float64 {
	if c.Rate == 0 {
		return math.MaxFloat64
	}
	return c.Rate
}

func (s *Server) customerCounters(name string) *[_customerEvents]tally.Counter {
	scope := s.stats.scope.Tagged(map[string]string{"customer": name})
	return &[_customerEvents]tally.Counter{
		_customerRequests: scope.Counter("customer_requests"),
		_customerRefused:  scope.Counter("customer_refused"),
	}
}
