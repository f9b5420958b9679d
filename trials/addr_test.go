package trials

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/fake"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := fake.FreeAddr(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// TestFreeAddr holds the addresses of the trials outside the range of outgoing
// connections.
func TestFreeAddr(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("no range of outgoing ports to read")
	}
	var low, high int
	if _, err := fmt.Fscan(strings.NewReader(string(data)), &low, &high); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for range 100 {
		addr := freeAddr(t)
		tcp, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if tcp.Port >= low && tcp.Port <= high {
			t.Fatalf("%s lies in the range of outgoing connections, %d to %d", addr, low, high)
		}
		if seen[addr] {
			t.Fatalf("%s was given out twice", addr)
		}
		seen[addr] = true
	}
}
