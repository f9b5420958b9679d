package node

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/heads"
)

const (
	// _writeEndTimeout bounds how long the end of a connection waits for the write that is
	// in progress. A write that has met a reset only needs to be scheduled.
	_writeEndTimeout  = time.Second
	_writeEndInterval = time.Millisecond
)

var (
	// errWriteFailed reports a connection that ended after a write on it had failed.
	errWriteFailed = errors.New("connection ended after a failed write")
	// errWritePending reports a connection that ended while a write on it was in progress.
	errWritePending = errors.New("connection ended during a write")
)

// stickyErrors returns a function that opens connections on which a failed write stays known
// to reads.
func stickyErrors(dial heads.Dial) heads.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &stickyConn{Conn: conn}, nil
	}
}

// stickyConn is a connection that ends cleanly only if no write on it has failed. The kernel
// reports a reset once: if a write meets it first, reads return the data that is left and then
// a clean end, as if the peer had sent all it had to send.
type stickyConn struct {
	net.Conn

	writing sync.Mutex // held during a write
	failed  atomic.Pointer[error]
}

// NetConn returns the connection below.
func (c *stickyConn) NetConn() net.Conn { return c.Conn }

// Write writes to the connection.
func (c *stickyConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read reads from the connection.
func (c *stickyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF unwrapped
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or why the end that a read has seen may not be the peer's.
func (c *stickyConn) end() error {
	for waited := time.Duration(0); !c.writing.TryLock(); waited += _writeEndInterval {
		if waited >= _writeEndTimeout {
			return errWritePending
		}
		time.Sleep(_writeEndInterval)
	}
	c.writing.Unlock()
	if err := c.failed.Load(); err != nil {
		return errors.Mark(errors.Errorf("connection ended: write: %w", *err), errWriteFailed)
	}
	return io.EOF
}
