package trials

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	_firstPort = 20000
	_ports     = 12000
)

var _nextPort atomic.Uint32

// freeAddr returns an address that nobody else takes before the process that
// it is meant for listens there, nor while that process restarts: each run of
// the tests has a loopback address of its own, and the port lies outside the
// range from which the kernel numbers outgoing connections.
func freeAddr(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	for range _ports {
		port := _firstPort + _nextPort.Add(1)%_ports
		addr := fmt.Sprintf("127.%d.%d.1:%d", 1+pid>>8&0x7f, pid&0xff, port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
	t.Fatal("no free address")
	return ""
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
