package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/route"
)

const (
	_dialTimeout     = route.MaxConnectTimeout // to instances
	_connIdleTimeout = 30 * time.Second
	_maxIdleConns    = 64
	// _maxOwnerHeaderBytes leaves room for what an owner adds to an instance's header.
	_maxOwnerHeaderBytes = _maxHeaderBytes + 8<<10
	// _ownerLines is how many lines an owner may add to an instance's header.
	_ownerLines           = 64
	_silenceLatencyFactor = 8
	_minSilenceTimeout    = 50 * time.Millisecond
	_unhealthyAvoid       = 2 * time.Second
	// _defaultRefusalTime is how long an ingress skips an instance that has failed
	// recently if its owner gives no duration, as nodes of an earlier version do.
	_defaultRefusalTime = 500 * time.Millisecond
	// _farRefusalFactor is how many times longer nodes of other data centres stay away from
	// an instance that has failed recently, up to _maxFarRefusalTime. The nodes near it find
	// out whether it has recovered, and their reports end the refusal.
	_farRefusalFactor  = 4
	_maxFarRefusalTime = 2 * time.Second
	// _stoppingRefusalTime is how long an ingress skips an instance whose owner is
	// stopping. Soon after, control hosts have announced that it leaves.
	_stoppingRefusalTime = time.Second
	// _unknownInstanceRefusalTime is how long an ingress skips an instance that its
	// owner does not know. An owner that has just started learns of its instances
	// within 1 to 2 seconds.
	_unknownInstanceRefusalTime = 500 * time.Millisecond
	// _maxRefusalTime bounds how long an owner can have an ingress skip an instance.
	_maxRefusalTime = 5 * time.Second
)

// ownerConns holds a separate transport for each owner address, so that all
// connections to one owner can be dropped when they may be dead.
type ownerConns struct {
	mu         sync.Mutex
	transports map[string]*http.Transport
	maxLines   int // of a response's head

	connectTimes route.ConnectTimes
	center       string // this process's data centre
	flows        *flow.Table
}

func newOwnerConns(center string, flows *flow.Table, maxLines int) *ownerConns {
	return &ownerConns{transports: map[string]*http.Transport{}, center: center, flows: flows, maxLines: maxLines}
}

// transport returns the transport for an owner's address in a data centre.
func (c *ownerConns) transport(addr, center string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[addr]
	if !ok {
		t = &http.Transport{
			DialContext: heads.LimitResponses(func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dial(ctx, network, addr, center)
			}, c.maxLines),
			IdleConnTimeout:        _connIdleTimeout,
			MaxIdleConnsPerHost:    _maxIdleConns,
			DisableCompression:     true,
			ExpectContinueTimeout:  _continueTimeout,
			MaxResponseHeaderBytes: _maxOwnerHeaderBytes,
		}
		c.transports[addr] = t
	}
	return t
}

// dial connects to an owner within the time that connects to its data centre take.
func (c *ownerConns) dial(ctx context.Context, network, addr, center string) (net.Conn, error) {
	c.mu.Lock()
	dialer := &net.Dialer{Timeout: c.connectTimes.Timeout(center)}
	c.mu.Unlock()
	started := time.Now()
	conn, err := stickyErrors(dialer.DialContext)(ctx, network, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	var timeout net.Error
	switch {
	case err == nil:
		c.connectTimes = c.connectTimes.WithConnect(center, time.Since(started))
	case ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout():
		c.connectTimes = c.connectTimes.WithTimeout(center)
	}
	if err != nil {
		return nil, errors.Errorf("connect to an owner: %w", err)
	}
	if center == c.center {
		return conn, nil
	}
	return c.flows.Wrap(conn, center), nil
}

// dropConns closes the idle connections to an address and prevents the busy ones
// from being reused.
func (c *ownerConns) dropConns(addr string) {
	c.mu.Lock()
	t, ok := c.transports[addr]
	delete(c.transports, addr)
	c.mu.Unlock()
	if ok {
		t.CloseIdleConnections()
	}
}

func (c *ownerConns) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
}
