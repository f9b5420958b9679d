package heads

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pieces is an upload of 4 KiB a millisecond that never ends.
type pieces struct{}

func (pieces) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return min(len(p), 4<<10), nil
}

// TestLinger guards against a client that loses the end of a whole response, since the server
// closed the connection with unread bytes of an upload that was sent after "100 Continue".
func TestLinger(t *testing.T) {
	const size = 64 << 10
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Second, ConnContext: ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Linger(r)
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.CopyN(io.Discard, r.Body, 8<<10)
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}),
	}
	go func() { _ = server.Serve(NewPool(Config{Capacity: 1 << 20}, nil).Listener(l)) }()
	defer server.Close()
	client := &http.Transport{ExpectContinueTimeout: time.Second}
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), io.NopCloser(pieces{}))
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = 1 << 30
		r.Header.Set("Expect", "100-continue")
		response, err := client.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		// A client that reads slower than it sends.
		n, err := 0, error(nil)
		for buffer := make([]byte, 4<<10); err == nil; {
			var read int
			read, err = response.Body.Read(buffer)
			n += read
			time.Sleep(2 * time.Millisecond)
		}
		_ = response.Body.Close()
		if n != size || err != io.EOF { //nolint:errorlint // Body.Read returns io.EOF unwrapped
			t.Errorf("%d bytes, %v", n, err)
		}
	}
}
