package node

import (
	"net"
	"testing"
	"time"
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
