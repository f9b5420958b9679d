package trials

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/spec"
)

// TestBodyCrowd guards against a crowd of requests with bodies of legal size that takes a node
// over its memory, and with it whatever else it has accepted.
func TestBodyCrowd(t *testing.T) {
	const (
		memory   = 184_000_000 // of a node of the smallest deployment
		requests = 1800
		size     = 60 << 10
		crowds   = 2
	)
	f := newFleet(t, 1, 1)
	f.nodes[0].Memory = spec.Size(memory)
	f.startAll()
	f.putService(0, lookupService(), "first")
	b := f.startBackend("lookup-1", "lookup", 0)
	f.awaitInstances(1)
	b.SetBehaviour(fake.Behaviour{Delay: 100 * time.Millisecond})
	node := f.nodes[0]
	body := strings.Repeat("x", size)
	for _, framing := range []struct{ name, fields, body string }{
		{"length", fmt.Sprintf("Content-Length: %d", size), body},
		{"chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)},
	} {
		for range crowds {
			var answered atomic.Int64
			text := "POST /renew/1 HTTP/1.1\r\nHost: h\r\n" + framing.fields + "\r\n\r\n" + framing.body
			flood(node.Caller, text, requests, func(conn net.Conn, text string) {
				writeWhole(conn, text)
				if n, _ := conn.Read(make([]byte, 1)); n > 0 {
					answered.Add(1)
				}
			})
			if peak := f.peakMemory(node.Name); peak > memory {
				t.Errorf("%s: %d MB at its peak, of %d", framing.name, peak/1_000_000, memory/1_000_000)
			} else {
				t.Logf("%s: %d MB at its peak, %d of %d answered", framing.name, peak/1_000_000, answered.Load(), requests)
			}
			f.eventually("an answer after the crowd", f.answersCaller)
		}
	}
	status, _, err := f.call(http.MethodPost, "http://"+node.Caller+"/renew/1", nil, []byte(body))
	if status != http.StatusOK || err != nil {
		t.Errorf("a body of the same size after the crowds: status %d, %v", status, err)
	}
}
