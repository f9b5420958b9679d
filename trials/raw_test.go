package trials

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/platform"
)

// rawInstance is a backend server that writes its responses byte by byte as told. It keeps
// connections open.
type rawInstance struct {
	id       string
	listener net.Listener
	// respond writes the response to a request. The connection is closed when it returns
	// false.
	respond func(conn *net.TCPConn, r *http.Request) bool
	// early leaves reading the body to respond.
	early bool

	mu   sync.Mutex
	runs map[string]int // by request ID
}

func startRaw(t *testing.T, id string, respond func(conn *net.TCPConn, r *http.Request) bool) *rawInstance {
	return (&rawInstance{id: id, respond: respond}).start(t)
}

// startEarly starts an instance that responds before it has read the body.
func startEarly(t *testing.T, id string, respond func(conn *net.TCPConn, r *http.Request) bool) *rawInstance {
	return (&rawInstance{id: id, respond: respond, early: true}).start(t)
}

func (i *rawInstance) start(t *testing.T) *rawInstance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	i.listener, i.runs = l, map[string]int{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(conn.(*net.TCPConn))
		}
	}()
	return i
}

func (i *rawInstance) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !i.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		i.mu.Lock()
		i.runs[r.Header.Get(platform.Headers().RequestID)]++
		i.mu.Unlock()
		if !i.respond(conn, r) {
			return
		}
	}
}

// runCount returns how often requests with an ID ran.
func (i *rawInstance) runCount(id string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runs[id]
}

// headOf returns the head of a response up to its empty line.
func headOf(status int, id string, fields ...string) string {
	names := platform.Headers()
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\n", status, http.StatusText(status), names.RequestID, id, names.ResponseStamp)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + "\r\n"
}

// startRawFleet starts a fleet with one raw instance at each node.
func startRawFleet(t *testing.T, instances ...*rawInstance) *fleet {
	f := startPlatformFleet(t)
	f.eventually("plan", func() error { return f.checkAccepted(f.putPlan(0, platformPlan(), 0)) })
	for n, i := range instances {
		if status, err := f.reportAddr(n, i.id, i.listener.Addr().String(), "lookup", "ready", 1, 4); status != http.StatusOK || err != nil {
			t.Fatalf("report: %d, %v", status, err)
		}
	}
	f.eventually("a response through each node", func() error {
		for n := range f.nodes {
			status, _, _, err := f.sendPlatform(n, http.MethodGet, "/a/plain", fmt.Sprintf("w-%d-%d", n, time.Now().UnixNano()))
			if status != http.StatusOK || err != nil {
				return errors.Newf("node %d: status %d, %v", n, status, err)
			}
		}
		return nil
	})
	return f
}

// writeSound writes a complete response.
func writeSound(conn *net.TCPConn, r *http.Request) bool {
	const body = "sound"
	_, err := io.WriteString(conn, headOf(http.StatusOK, r.Header.Get(platform.Headers().RequestID), "Content-Length: 5")+body)
	return err == nil
}

// TestResponseHeadCut guards against a response whose head breaks off and that a caller
// gets as a whole one with an empty or short body.
func TestResponseHeadCut(t *testing.T) {
	// The path of a request says how its response ends: /a/KIND/CUT/END.
	cutHead := func(conn *net.TCPConn, r *http.Request) bool {
		parts := strings.Split(r.URL.Path, "/")
		if len(parts) != 5 {
			return writeSound(conn, r)
		}
		var fields []string
		if parts[2] == "length" {
			fields = []string{"Content-Length: 5"}
		}
		head := headOf(http.StatusOK, r.Header.Get(platform.Headers().RequestID), fields...)
		cut, _ := strconv.Atoi(parts[3])
		_, _ = io.WriteString(conn, head[:min(cut, len(head)-1)])
		if parts[4] == "reset" {
			_ = conn.SetLinger(0)
		}
		return false
	}
	f := startRawFleet(t, startRaw(t, "i-1", cutHead), startRaw(t, "i-2", cutHead))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	whole := len(headOf(http.StatusOK, "0123456789", "Content-Length: 5"))
	for _, kind := range []string{"length", "none"} {
		for _, end := range []string{"close", "reset"} {
			for cut := 0; cut < whole; cut += 3 {
				wg.Go(func() {
					limit <- struct{}{}
					defer func() { <-limit }()
					id := fmt.Sprintf("%010d", time.Now().UnixNano()%1e10)
					status, body, _, err := f.sendPlatform(cut%2, http.MethodGet, fmt.Sprintf("/a/%s/%d/%s", kind, cut, end), id)
					if err == nil && status < http.StatusMultipleChoices {
						t.Errorf("%s, cut after %d bytes, %s: status %d, body %q", kind, cut, end, status, body)
					}
				})
			}
		}
	}
	wg.Wait()
}

// TestRefusalOfAnotherRequest guards against an instance's earlier refusal that is taken
// for the response to a request which the instance has run: the caller would be told that
// it has not run, or it would run again elsewhere.
func TestRefusalOfAnotherRequest(t *testing.T) {
	stale := func(conn *net.TCPConn, r *http.Request) bool {
		if !strings.Contains(r.URL.Path, "stale") {
			return writeSound(conn, r)
		}
		head := headOf(http.StatusServiceUnavailable, "an-earlier-one", platform.Headers().NotExecuted+": 1", "Content-Length: 0")
		_, err := io.WriteString(conn, head)
		time.Sleep(20 * time.Millisecond)
		return err == nil && writeSound(conn, r)
	}
	first, second := startRaw(t, "i-1", stale), startRaw(t, "i-2", stale)
	f := startRawFleet(t, first, second)
	reached := 0
	for n := range 40 {
		method, path := http.MethodGet, "/a/stale"
		if n%2 == 0 {
			method, path = http.MethodPost, "/b/stale"
		}
		id := fmt.Sprintf("s-%d", n)
		status, body, _, err := f.sendPlatform(n/2%2, method, path, id)
		runs := first.runCount(id) + second.runCount(id)
		reached += runs
		if refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests; refused && runs > 0 {
			t.Errorf("%s %s: status %d says that the request has not run, it has %d times (%s)", method, id, status, runs, body)
		}
		if method == http.MethodPost && runs > 1 {
			t.Errorf("%s %s ran %d times (status %d, %v)", method, id, runs, status, err)
		}
	}
	if reached < 10 {
		t.Errorf("only %d requests reached an instance", reached)
	}
}
