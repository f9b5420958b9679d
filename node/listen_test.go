package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/spec"
)

// TestSteerToNewest checks that every new connection reaches the second listener on an
// address, and that the listener that is left gets all of them once the other closes.
func TestSteerToNewest(t *testing.T) {
	first, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := listen(t.Context(), first.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if err := steerToNewest(first); err != nil {
		t.Fatal(err)
	}
	dialAll(t, second, 20)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	dialAll(t, second, 20)
	third, err := listen(t.Context(), second.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if err := steerToNewest(third); err != nil {
		t.Fatal(err)
	}
	dialAll(t, third, 20)
}

// dialAll opens n connections and fails the test unless the listener accepts each.
func dialAll(t *testing.T, l *net.TCPListener, n int) {
	t.Helper()
	for i := range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatalf("dial %d: %v", i, err)
		}
		if err := l.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d not accepted by this listener: %v", i, err)
		}
		accepted.Close()
		c.Close()
	}
}

// TestIgnoreHandshakes checks that a listener that ignores new handshakes still accepts
// the connections that were open, and gets no others.
func TestIgnoreHandshakes(t *testing.T) {
	const waiting = 5
	l, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := ignoreHandshakes(l); err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond); err == nil {
		c.Close()
		t.Error("a new connection was established")
	}
	for n := range waiting {
		if err := l.SetDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", n, err)
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("connection %d: %v", n, err)
		}
	}
}

// TestStopResetsNoConnection checks that a planned stop under load resets no connection
// that a caller could open, before its first request is answered.
func TestStopResetsNoConnection(t *testing.T) {
	const (
		rounds   = 8
		callers  = 16
		stopTime = spec.Duration(200 * time.Millisecond)
	)
	for round := range rounds {
		s := New(Config{
			Settings: config.Node{Name: "n1", Key: "a-key-of-sixteen-bytes", Control: []string{"127.0.0.1:1"}, Stop: stopTime},
			Logger:   slog.New(slog.NewJSONHandler(t.Output(), nil)),
		})
		ctx, stop := context.WithCancel(t.Context())
		addr := freeAddr(t)
		stopped := make(chan error, 1)
		answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		go func() { stopped <- s.serve(ctx, addr, answer) }()
		callersCtx, stopCallers := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for callersCtx.Err() == nil {
					if err := requestOnNewConn(addr); err != nil {
						t.Errorf("round %d: %v", round, err)
						return
					}
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		stop()
		if err := <-stopped; err != nil {
			t.Errorf("round %d: %v\n%s", round, err, connGoroutines())
		}
		stopCallers()
		wg.Wait()
	}
}

// connGoroutines returns the stacks of the goroutines that serve, close or open connections.
func connGoroutines() string {
	const maxSize = 8 << 20
	stacks := make([]byte, maxSize)
	stacks = stacks[:runtime.Stack(stacks, true)]
	var found []string
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		if strings.Contains(stack, "(*conn).serve") || strings.Contains(stack, "closeUnused") || strings.Contains(stack, "requestOnNewConn") {
			found = append(found, stack)
		}
	}
	return strings.Join(found, "\n\n")
}

// requestOnNewConn sends a request on a new connection. It returns an error if the
// connection was established and ends without an answer.
func requestOnNewConn(addr string) error {
	c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
	if err != nil {
		return nil //nolint:nilerr // a refused connection loses no request
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return errors.Errorf("set deadline: %w", err)
	}
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")); err != nil {
		return errors.Errorf("write request: %w", err)
	}
	if _, err := io.ReadFull(c, make([]byte, 12)); err != nil {
		if errors.Is(err, syscall.ECONNRESET) {
			return errors.Errorf("established connection was reset: %w", err)
		}
		return errors.Errorf("read answer: %w", err)
	}
	return nil
}
