package flow

import (
	"net"
	"sync"
)

// Conn is a connection whose bytes are counted. It carries one exchange at a time.
type Conn struct {
	net.Conn
	table *Table

	mu      sync.Mutex
	center  *center // nil for the process's own data centre
	known   bool
	cause   Cause
	pending Sum // bytes whose cause or data centre is not known yet
	closed  bool
}

// ConnOf returns the counted connection that another one is, or lies above.
func ConnOf(conn net.Conn) (*Conn, bool) {
	for {
		if counted, ok := conn.(*Conn); ok {
			return counted, true
		}
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = outer.NetConn()
	}
}

// Read reads from the connection and counts what it has read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(Sum{Received: int64(n)})
	return n, err
}

// Write writes to the connection and counts what it has written.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(Sum{Sent: int64(n)})
	return n, err
}

// Close closes the connection. The cause of its last exchange may be decided later, as a
// transport closes a connection before it returns a response that ends it.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.flush()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Begin starts an exchange of a cause. Bytes of an exchange whose cause is Undecided are
// held back until Decide.
func (c *Conn) Begin(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending.Exchanges++
	c.cause = cause
	c.flush()
}

// Decide sets the cause of the exchange, also of what it transfers from then on. Every
// exchange whose cause is Undecided must get one.
func (c *Conn) Decide(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cause = cause
	c.flush()
}

// SetCenter sets the remote data centre if it was unknown.
func (c *Conn) SetCenter(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known || name == "" {
		return
	}
	c.center, c.known = c.table.find(name), true
	c.flush()
}

func (c *Conn) count(s Sum) {
	if s == (Sum{}) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == Undecided || !c.known {
		c.pending = c.pending.plus(s)
		return
	}
	c.center.add(c.cause, s)
}

// flush adds the bytes that were held back to the totals, once their cause and data centre
// are known or the connection has ended.
func (c *Conn) flush() {
	if c.closed && !c.known {
		c.center, c.known = c.table.find(""), true
	}
	if !c.known || c.cause == Undecided {
		return
	}
	c.center.add(c.cause, c.pending)
	c.pending = Sum{}
}
