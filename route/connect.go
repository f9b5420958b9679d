package route

import (
	"maps"
	"time"
)

const (
	// MaxConnectTimeout exceeds the round-trip time between regions. Trying another
	// instance after it is faster than waiting for TCP to retransmit a lost packet.
	MaxConnectTimeout = 300 * time.Millisecond
	// _minConnectTimeout covers the delay of a busy link within a region.
	_minConnectTimeout = 40 * time.Millisecond
	// _connectFactor is how many times the slowest recent connect may be exceeded.
	_connectFactor = 8
	// _connectDecay is the weight of a new, faster sample in the slowest recent connect,
	// and _connectGrowth its growth after a timeout: if all connects to a data centre
	// time out, the limit reaches its maximum within some twenty.
	_connectDecay  = 0.05
	_connectGrowth = 1.1
)

// ConnectTimes holds how long connects to the data centres took lately. It is an
// immutable value; the zero value knows nothing.
type ConnectTimes struct {
	slowest map[string]time.Duration
}

// WithConnect returns the times after a connect to a data centre.
func (c ConnectTimes) WithConnect(center string, took time.Duration) ConnectTimes {
	slowest := c.slowest[center]
	if took < slowest {
		took = slowest - time.Duration(_connectDecay*float64(slowest-took))
	}
	return c.with(center, took)
}

// WithTimeout returns the times after a connect to a data centre timed out.
func (c ConnectTimes) WithTimeout(center string) ConnectTimes {
	slowest, known := c.slowest[center]
	if !known {
		return c
	}
	slowest = max(slowest, _minConnectTimeout/_connectFactor)
	return c.with(center, min(time.Duration(_connectGrowth*float64(slowest)), MaxConnectTimeout/_connectFactor))
}

func (c ConnectTimes) with(center string, slowest time.Duration) ConnectTimes {
	next := maps.Clone(c.slowest)
	if next == nil {
		next = map[string]time.Duration{}
	}
	next[center] = max(slowest, 1)
	return ConnectTimes{slowest: next}
}

// Timeout returns how long a connect to a data centre may take before another instance
// is tried.
func (c ConnectTimes) Timeout(center string) time.Duration {
	slowest, known := c.slowest[center]
	if !known {
		return MaxConnectTimeout
	}
	return min(max(_minConnectTimeout, _connectFactor*slowest), MaxConnectTimeout)
}
