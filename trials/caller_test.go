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

// TestSlowCallers lets callers take their downloads slowly, and send their
// bodies slowly: no backend server is blamed for it.
func TestSlowCallers(t *testing.T) {
	f, _, _ := ready(t)
	service := lookup()
	service.Timeout = spec.Duration(2 * time.Second)
	f.put(0, service, "shorter")
	f.eventually("in force", f.inForce)
	for n := range 50 {
		if _, err := f.ask(n%2, fmt.Sprint("/check/warm-", n)); err != nil {
			t.Fatal(err)
		}
	}
	for n := range _slowCallers {
		f.holdRequest(n%2, "GET /blob/large HTTP/1.1\r\nHost: x\r\n\r\n")
		f.holdRequest(n%2, "POST /check/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 70000))
	}
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		status, err := f.status(0)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range status.Services {
			if len(s.Ejected) > 0 {
				t.Fatalf("ejected for its callers: %v", s.Ejected)
			}
		}
	}
	for node := range f.nodes {
		if n := f.counter(node, "damaskpitch_node_denied"); n > 0 {
			t.Errorf("node %d asked for %v ejections", node+1, n)
		}
	}
}

// holdRequest sends a request and takes nothing of the answer until the test ends.
func (f *fleet) holdRequest(node int, request string) {
	c, err := net.Dial("tcp", f.nodes[node].Caller)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, request); err != nil {
		f.t.Fatal(err)
	}
}

// counter returns a counter's value on a metrics page.
func counter(page []byte, name string) float64 {
	for line := range strings.Lines(string(page)) {
		fields := strings.Fields(line)
		if len(fields) == 2 && strings.HasPrefix(fields[0], name) {
			value, _ := strconv.ParseFloat(fields[1], 64)
			return value
		}
	}
	return 0
}
