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

// TestFreeAddr checks that the addresses the tests listen on are unique and
// outside the kernel's range of ephemeral ports, where an outgoing connection
// could take them.
func TestFreeAddr(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("cannot read the range of ephemeral ports")
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
			t.Fatalf("%s is in the range of ephemeral ports, %d to %d", addr, low, high)
		}
		if seen[addr] {
			t.Fatalf("%s was returned twice", addr)
		}
		seen[addr] = true
	}
}
