package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// _dialTimeout exceeds the round-trip time between regions. Trying another
	// instance after it is faster than waiting for TCP to retransmit a lost packet.
	_dialTimeout     = 300 * time.Millisecond
	_connIdleTimeout = 30 * time.Second
	_maxIdleConns    = 64
	// _maxOwnerHeaderBytes leaves room for what an owner adds to an instance's header.
	_maxOwnerHeaderBytes  = _maxHeaderBytes + 8<<10
	_silenceLatencyFactor = 8
	_minSilenceTimeout    = 50 * time.Millisecond
	_unhealthyAvoid       = 2 * time.Second
	// _defaultRefusalTime is how long an ingress skips an instance that has failed
	// recently if its owner gives no duration, as nodes of an earlier version do.
	_defaultRefusalTime = 500 * time.Millisecond
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
}

func newOwnerConns() *ownerConns {
	return &ownerConns{transports: map[string]*http.Transport{}}
}

func (c *ownerConns) transport(addr string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[addr]
	if !ok {
		dialer := &net.Dialer{Timeout: _dialTimeout}
		t = &http.Transport{
			DialContext:            dialer.DialContext,
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
