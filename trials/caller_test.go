package trials

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const _slowCallers = 4

// TestSlowCallers has callers that stop reading their downloads, and callers
// that stop sending their request bodies. No backend server may be ejected for
// that, and no node may have asked for an ejection.
func TestSlowCallers(t *testing.T) {
	f, _, _ := startServingFleet(t)
	service := lookupService()
	service.Timeout = spec.Duration(2 * time.Second)
	f.putService(0, service, "shorter")
	f.eventually("new timeout on all nodes", f.checkConverged)
	for n := range 50 {
		if _, err := f.get(n%2, fmt.Sprint("/check/warm-", n)); err != nil {
			t.Fatal(err)
		}
	}
	for n := range _slowCallers {
		f.sendWithoutReading(n%2, "GET /blob/large HTTP/1.1\r\nHost: x\r\n\r\n")
		f.sendWithoutReading(n%2, "POST /check/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 70000))
	}
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		status, err := f.status(0)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range status.Services {
			if len(s.Ejected) > 0 {
				t.Fatalf("ejected because of slow callers: %v", s.Ejected)
			}
		}
	}
	for node := range f.nodes {
		if n := f.counter(node, "damaskpitch_node_denied"); n > 0 {
			t.Errorf("node %d had %v ejection requests refused", node+1, n)
		}
	}
}

// sendWithoutReading sends a request and keeps the connection open until the
// test ends, without reading the response.
func (f *fleet) sendWithoutReading(node int, request string) {
	c, err := net.Dial("tcp", f.nodes[node].Caller)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		f.t.Fatal(err)
	}
}

// parseCounter returns the value of the first counter on a metrics page whose
// name begins with name, or 0 if there is none.
func parseCounter(page []byte, name string) float64 {
	for line := range strings.Lines(string(page)) {
		fields := strings.Fields(line)
		if len(fields) == 2 && strings.HasPrefix(fields[0], name) {
			value, _ := strconv.ParseFloat(fields[1], 64)
			return value
		}
	}
	return 0
}
