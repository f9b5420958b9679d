package heads

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// _lingerTime is how long a connection that is closed in stages waits for its peer.
const _lingerTime = 500 * time.Millisecond

// Conn is an accepted connection whose heads are charged to a pool. It changes no bytes.
type Conn struct {
	net.Conn
	pool     *Pool
	id       uint64
	granted  chan struct{}
	closed   chan struct{}
	once     sync.Once
	evicted  atomic.Bool
	lingers  atomic.Bool  // closes in stages
	deadline atomic.Int64 // for reads, Unix time in ns; 0 for none

	mu     sync.Mutex
	scan   scanner
	small  int64 // taken from the reserve
	shared int64 // charged to the budget
	ended  bool
	// streams is the cost of the heads of HTTP/2 streams whose requests run.
	streams int64
}

func newConn(conn net.Conn, pool *Pool) *Conn {
	c := &Conn{
		Conn: conn, pool: pool, id: pool.nextID.Add(1),
		granted: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	c.scan = newScanner()
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. It returns what belongs to a head once that is charged.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	waits := c.scan.read(p[:n], len(p)) && c.chargeLocked()
	c.mu.Unlock()
	if waits {
		if failed := c.await(); failed != nil {
			return 0, failed
		}
	}
	return n, err
}

// chargeLocked charges what the connection's heads cost now, and reports whether it must
// wait for that.
func (c *Conn) chargeLocked() bool {
	total := c.scan.cost() + c.streams
	if c.ended || total == c.small+c.shared {
		return false
	}
	if total <= _smallHead && c.shared == 0 {
		delta := total - c.small
		if c.pool.small.Add(delta) <= c.pool.reserve || delta < 0 {
			c.small = total
			return false
		}
		c.pool.small.Add(-delta)
	}
	c.pool.small.Add(-c.small)
	c.small, c.shared = 0, total
	return c.pool.charge(c, total)
}

// await waits until the charge is granted.
func (c *Conn) await() error {
	wait := _maxWait
	if at := c.deadline.Load(); at != 0 {
		// The deadline of a connection that was idle is minutes away.
		wait = min(wait, time.Until(time.Unix(0, at)))
	}
	err := c.pool.await(c, time.Now().Add(wait))
	if err != nil {
		c.release()
	}
	return err
}

// expect begins the next head and releases the charge of the one before.
func (c *Conn) expect() {
	c.mu.Lock()
	if c.scan.frames != nil {
		// With HTTP/2 the state tells of the connection, not of a head.
		c.mu.Unlock()
		return
	}
	c.scan.expect()
	// A head that net/http has buffered already is parsed without another read.
	waits := c.chargeLocked()
	c.mu.Unlock()
	if waits && c.await() != nil {
		_ = c.Close()
	}
}

// complete says that the head has been parsed and its request runs.
func (c *Conn) complete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan.inHead = false
	if c.shared > 0 && c.scan.frames == nil {
		c.pool.send(CompleteMsg{ID: c.id})
	}
}

// updateStreams changes the cost of the requests of HTTP/2 that run.
func (c *Conn) updateStreams(delta int64, begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scan.frames == nil {
		return
	}
	if begins {
		c.scan.frames.begin()
	}
	c.streams += delta
	// The charge grows here only if the block's was released early; nothing waits for it.
	_ = c.chargeLocked()
	if c.shared > 0 && c.scan.frames.cost == 0 {
		c.pool.send(CompleteMsg{ID: c.id})
	}
}

// release returns the charge of a connection that ends.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.pool.small.Add(-c.small)
	if c.shared > 0 {
		c.pool.release(c)
	}
	c.small, c.shared = 0, 0
}

// wake lets a read that waits look at its charge.
func (c *Conn) wake() {
	select {
	case c.granted <- struct{}{}:
	default:
	}
}

// evict closes the connection for the budget, which has dropped its charge.
func (c *Conn) evict() {
	c.evicted.Store(true)
	_ = c.Close()
}

// Close closes the connection and ends a wait for a charge.
func (c *Conn) Close() error {
	first := false
	c.once.Do(func() {
		first = true
		close(c.closed)
	})
	if first && c.lingers.Load() && c.CloseWrite() == nil {
		go c.drain()
		return nil
	}
	return c.Conn.Close()
}

// drain reads what the peer still sends, until it closes its side or for _lingerTime, and
// closes the connection.
func (c *Conn) drain() {
	if err := c.Conn.SetReadDeadline(time.Now().Add(_lingerTime)); err == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

// Linger has the connection of a request closed in stages. If it were closed with unread
// bytes, it would be reset, and the peer could lose the end of the response. net/http does so
// itself, but not for requests with Expect.
func Linger(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.lingers.Store(true)
	}
}

// CloseWrite closes the sending side. net/http does so before it closes a connection on
// which a client still sends, so that the client reads the response.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("connection has no sending side of its own")
	}
	return half.CloseWrite()
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.storeDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads, which bounds the wait for a charge too.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.storeDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) storeDeadline(t time.Time) {
	if t.IsZero() {
		c.deadline.Store(0)
		return
	}
	c.deadline.Store(t.UnixNano())
}
