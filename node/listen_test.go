package node

import (
	"net"
	"testing"
	"time"
)

// TestYield steers every new connection to the listener that came second, and
// back to the only one once the other is closed.
func TestYield(t *testing.T) {
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
	if err := yield(first); err != nil {
		t.Fatal(err)
	}
	dial(t, second, 20)
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	dial(t, second, 20)
	third, err := listen(t.Context(), second.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if err := yield(third); err != nil {
		t.Fatal(err)
	}
	dial(t, third, 20)
}

// dial makes connections that must all be accepted by the listener.
func dial(t *testing.T, l *net.TCPListener, n int) {
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
			t.Fatalf("connection %d went elsewhere: %v", i, err)
		}
		accepted.Close()
		c.Close()
	}
}
