package trials

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestMalformedRequests sends malformed requests to a node's caller address.
// Each must get the expected status, and none may reach a backend server.
func TestMalformedRequests(t *testing.T) {
	f, a, b := startServingFleet(t)
	_, _ = f.get(0, "/check/warm")
	cases := []struct {
		name, raw string
		status    int
	}{
		{"two lengths", "POST /check HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"length and chunks", "POST /check HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
		{"no host", "GET /check HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET /check HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
		{"space in name", "GET /check HTTP/1.1\r\nHost: x\r\nBad Name: y\r\n\r\n", 400},
		{"not HTTP", "hello\r\n\r\n", 400},
		{"large header", "GET /check HTTP/1.1\r\nHost: x\r\nBig: " + strings.Repeat("a", 100<<10) + "\r\n\r\n", 431},
		{"unknown path", "GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"path outside", "GET /../check HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		{"bad chunk", "POST /check HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"long key", "POST /renew HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + strings.Repeat("k", 300) + "\r\nContent-Length: 0\r\n\r\n", 400},
	}
	before := a.RequestCount() + b.RequestCount()
	for _, c := range cases {
		status, err := sendRaw(f.nodes[0].Caller, c.raw)
		if err != nil || status != c.status {
			t.Errorf("%s: status %d, want %d, error %v", c.name, status, c.status, err)
		}
	}
	if after := a.RequestCount() + b.RequestCount(); after != before {
		t.Errorf("%d malformed requests reached a backend server", after-before)
	}
	if _, err := f.get(0, "/check/after"); err != nil {
		t.Error(err)
	}
}

// sendRaw sends text over a new connection and returns the status of the
// response.
func sendRaw(addr, text string) (int, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// TestForgedHeaders sends internal and hop-by-hop headers. A caller's request
// that has them is served, but internal addresses refuse requests without the
// right key, so that a caller cannot pass for a node.
func TestForgedHeaders(t *testing.T) {
	f, _, _ := startServingFleet(t)
	header := http.Header{
		"Dp-Attempt": {"n1.1.1"}, "Dp-Secret": {_key}, "Connection": {"X-Drop"}, "X-Drop": {"1"},
	}
	status, body, err := f.call(http.MethodGet, "http://"+f.nodes[0].Caller+"/check/1", header, nil)
	if err != nil || status != http.StatusOK {
		t.Errorf("status %d: %s, %v", status, body, err)
	}
	header.Set("Dp-Secret", "wrong")
	status, _, err = f.call(http.MethodGet, "http://"+f.nodes[0].Peer+"/check/1", header, nil)
	if err != nil || status != http.StatusUnauthorized {
		t.Errorf("attempt with a wrong key: status %d, %v", status, err)
	}
	for _, addr := range []string{f.nodes[0].Peer, f.controls[0].Peer} {
		status, _, err = f.call(http.MethodPost, "http://"+addr+"/twirp/damaskpitch.Peer/Send", nil, []byte("x"))
		if err != nil || status != http.StatusUnauthorized {
			t.Errorf("internal call without a key at %s: status %d, %v", addr, status, err)
		}
	}
}

// TestCallerDisconnect closes connections in the middle of request bodies. The
// slots that these requests held must become free.
func TestCallerDisconnect(t *testing.T) {
	f, _, _ := startServingFleet(t)
	for n := range 40 {
		c, err := net.Dial("tcp", f.nodes[0].Caller)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /check/%d HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", n)
		c.Close()
	}
	f.eventually("response after callers disconnected", func() error {
		_, err := f.get(0, "/check/still")
		return err
	})
}

// TestInvalidResources writes invalid services. Each must be refused with the
// expected status and with the name of the invalid field.
func TestInvalidResources(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.startAll()
	f.putService(0, lookupService(), "first")
	cases := []struct {
		body, match, field string
		status             int
	}{
		{`{"name":"lookup","floor":-1,"routes":[{"path":"/a"}]}`, "*", "Service.floor", 422},
		{`{"name":"lookup","floor":9,"size":8,"routes":[{"path":"/a"}]}`, "*", "Service.floor", 422},
		{`{"name":"lookup","routes":[]}`, "*", "Service.routes", 422},
		{`{"name":"lookup","routes":[{"path":"a"}]}`, "*", "Service.routes[0].path", 422},
		{`{"name":"lookup","routes":[{"path":"/a"},{"path":"/a"}]}`, "*", "Service.routes[1]", 422},
		{`{"name":"other","routes":[{"path":"/a"}]}`, "*", "Service.name", 400},
		{`{"name":"lookup","speed":1}`, "*", "", 400},
		{`{"name":"lookup","timeout":"5","routes":[{"path":"/a"}]}`, "*", "", 400},
		{`{"name":"lookup","routes":[{"path":"/a"}]}`, "", "If-Match", 428},
		{`{"name":"lookup","routes":[{"path":"/a"}]}`, "1", "", 412},
	}
	for _, c := range cases {
		header := http.Header{"If-Match": {c.match}}
		status, body, err := f.call(http.MethodPut, "http://"+f.controls[0].API+"/v1/services/lookup", header, []byte(c.body))
		if err != nil || status != c.status || !strings.Contains(string(body), `"`+c.field) {
			t.Errorf("%s: status %d, want %d with field %q: %s, %v", c.body, status, c.status, c.field, body, err)
		}
	}
}

// TestSlowHeader sends an incomplete header. The node must close the connection.
func TestSlowHeader(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.startAll()
	f.putService(0, lookupService(), "first")
	f.eventually("first response", func() error {
		_, err := sendRaw(f.nodes[0].Caller, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
		return err
	})
	c, err := net.Dial("tcp", f.nodes[0].Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET /check HTTP/1.1\r\nHost: x\r\nSlow")
	_ = c.SetDeadline(time.Now().Add(_maxWait))
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection was not closed: %v", err)
	}
}

// TestHalfClosed closes the sending side of a connection after the request. The
// caller must still get the response.
func TestHalfClosed(t *testing.T) {
	f, _, _ := startServingFleet(t)
	c, err := net.Dial("tcp", f.nodes[0].Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n")
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", response.StatusCode)
	}
}
