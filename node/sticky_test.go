package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// earlyServer answers each request at once, without a length, and then reads what is left of
// the upload and closes, or resets the connection after some time.
func earlyServer(t *testing.T, body []byte, reset func(n int64) (time.Duration, bool)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int64
	go func() {
		for {
			accepted, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := accepted.(*net.TCPConn)
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				_, _ = conn.Write(body)
				if after, ok := reset(count.Add(1)); ok {
					time.Sleep(after)
					_ = conn.SetLinger(0)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}()
		}
	}()
	return l.Addr().String()
}

// slowUpload is a body that comes in pieces, one a millisecond.
type slowUpload struct{ left, piece int }

func (u *slowUpload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(u.left, u.piece, len(p))
	u.left -= n
	return n, nil
}

func (u *slowUpload) Close() error { return nil }

// TestResetMetByUpload guards against a response without a length that breaks off and is taken
// for a whole one: a write of the upload meets the reset first, and reads see a clean end.
func TestResetMetByUpload(t *testing.T) {
	const requests, uploadSize = 200, 200 << 10
	part := make([]byte, 1200)
	addr := earlyServer(t, part, func(n int64) (time.Duration, bool) { return time.Duration(5+n%20) * time.Millisecond, true })
	transports := map[string]*http.Transport{
		"instance": newTransport(1000),
		"owner":    newOwnerConns("mida", nil, 1000).transport(addr, "mida"),
	}
	for name, transport := range transports {
		t.Run(name, func(t *testing.T) {
			var whole, cut atomic.Int64
			inParallel(requests, func(int) {
				size, err := sendUpload(t.Context(), transport, addr, uploadSize)
				switch {
				case err != nil:
					cut.Add(1)
				case size == len(part):
					whole.Add(1)
				}
			})
			if whole.Load() > 0 {
				t.Errorf("%d of %d responses that were reset ended without an error", whole.Load(), requests)
			}
			if cut.Load() != requests {
				t.Errorf("%d of %d responses ended with an error", cut.Load(), requests)
			}
		})
	}
}

// TestEarlyResponseIsWhole guards against a whole response that is taken for an incomplete
// one, as its backend server began it before the upload had ended.
func TestEarlyResponseIsWhole(t *testing.T) {
	const requests, uploadSize = 50, 100 << 10
	body := make([]byte, 5000)
	addr := earlyServer(t, body, func(int64) (time.Duration, bool) { return 0, false })
	transport := newTransport(1000)
	inParallel(requests, func(int) {
		if size, err := sendUpload(t.Context(), transport, addr, uploadSize); err != nil || size != len(body) {
			t.Errorf("%d bytes, %v", size, err)
		}
	})
}

// inParallel runs n calls, eight at once.
func inParallel(n int, call func(int)) {
	const workers = 8
	done := make(chan struct{})
	var next atomic.Int64
	for range workers {
		go func() {
			for i := int(next.Add(1)); i <= n; i = int(next.Add(1)) {
				call(i)
			}
			done <- struct{}{}
		}()
	}
	for range workers {
		<-done
	}
}

// sendUpload sends a slow upload and returns the size of the response's body.
func sendUpload(ctx context.Context, transport *http.Transport, addr string, size int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/", addr), &slowUpload{left: size, piece: 4 << 10})
	if err != nil {
		return 0, err
	}
	r.ContentLength = int64(size)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return len(body), err
}
