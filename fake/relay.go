package fake

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const _relayBuffer = 32 << 10

// Link describes how a relay treats one direction of its connections.
type Link struct {
	// Drop discards all data without closing the connection.
	Drop bool
	// Delay is added before each chunk of data is forwarded.
	Delay time.Duration
}

// Relay forwards TCP connections to another address and can impair either
// direction.
type Relay struct {
	to         string
	listener   net.Listener
	forward    atomic.Pointer[Link]
	backward   atomic.Pointer[Link]
	silentUpTo atomic.Int64 // connections up to this number stay silent
	accepted   atomic.Int64
	mu         sync.Mutex
	conns      map[net.Conn]bool
}

// StartRelay starts a relay that forwards connections until the context ends.
func StartRelay(ctx context.Context, to string) (*Relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Errorf("listen for relay to %s: %w", to, err)
	}
	r := &Relay{to: to, listener: l, conns: map[net.Conn]bool{}}
	r.SetLinks(Link{}, Link{})
	go r.accept(ctx)
	context.AfterFunc(ctx, r.close)
	return r, nil
}

// Addr returns the relay's address.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetLinks sets how data to the relay's target and data back from it are treated.
func (r *Relay) SetLinks(forward, backward Link) {
	r.forward.Store(&forward)
	r.backward.Store(&backward)
}

// Silence drops all further data on the connections that are open now; new
// connections work.
func (r *Relay) Silence() { r.silentUpTo.Store(r.accepted.Load()) }

// Reset resets every open connection; data in flight is lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only on a connection that is already closed
		}
		c.Close()
	}
	r.conns = map[net.Conn]bool{}
}

func (r *Relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		n := r.accepted.Add(1)
		go r.proxy(ctx, c, n)
	}
}

func (r *Relay) proxy(ctx context.Context, client net.Conn, n int64) {
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", r.to)
	if err != nil {
		client.Close()
		return
	}
	r.mu.Lock()
	r.conns[client], r.conns[target] = true, true
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.pipe(target, client, &r.forward, n) })
	wg.Go(func() { r.pipe(client, target, &r.backward, n) })
	wg.Wait()
}

func (r *Relay) pipe(to io.WriteCloser, from io.Reader, link *atomic.Pointer[Link], n int64) {
	defer to.Close()
	buffer := make([]byte, _relayBuffer)
	for {
		got, err := from.Read(buffer)
		if err != nil {
			return
		}
		l := link.Load()
		time.Sleep(l.Delay)
		if l.Drop || n <= r.silentUpTo.Load() {
			continue
		}
		if _, err := to.Write(buffer[:got]); err != nil {
			return
		}
	}
}

func (r *Relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.Close()
	}
}
