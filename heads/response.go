package heads

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// DefaultResponseLines is how many lines the head of a response may have, with the interim
// responses before it. The fields of ordinary responses number some tens; at this limit a
// head takes about as much memory as its 64 KiB of text.
const DefaultResponseLines = 1024

// ErrTooManyLines reports a response whose head has more lines than is allowed.
var ErrTooManyLines = errors.New("response head has too many lines")

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// LimitResponses returns a function that opens connections on which the heads of responses
// have a number of lines at most. ExpectResponse and EndResponse tell when one is read.
func LimitResponses(dial Dial, lines int) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &responseConn{Conn: conn, limit: lines}, nil
	}
}

// responseConn is a connection to a server.
type responseConn struct {
	net.Conn
	limit int

	mu        sync.Mutex
	scan      scanner
	responses uint64 // that have been expected
}

// NetConn returns the connection below.
func (c *responseConn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, and fails at a head with too many lines before that is
// parsed.
func (c *responseConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.scan.inHead {
		return n, err
	}
	c.scan.readHead(p[:n])
	if c.scan.head.lines > c.limit {
		return 0, ErrTooManyLines
	}
	return n, err
}

// ExpectResponse says that the head of a response is read from now on, and returns a
// number for EndResponse. A connection of another kind is left alone.
func ExpectResponse(conn net.Conn) uint64 {
	c, ok := conn.(*responseConn)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses++
	c.scan = scanner{inHead: true, blank: true}
	return c.responses
}

// EndResponse says that the head of a response has been read, or is not waited for. A
// connection without a body to read may wait for its next response already.
func EndResponse(conn net.Conn, number uint64) {
	c, ok := conn.(*responseConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responses == number {
		c.scan.inHead = false
	}
}
