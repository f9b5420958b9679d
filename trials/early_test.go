package trials

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/damaskpitch/damaskpitch/platform"
)

// TestEarlyResponseKeepsUpload guards against an upload of which the backend server does not
// get all, or that is never sent, since the response began before the upload had ended.
func TestEarlyResponseKeepsUpload(t *testing.T) {
	var mu sync.Mutex
	uploads := map[string]int64{} // bytes that arrived, by request
	respond := func(conn *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get(platform.Headers().RequestID)
		if !strings.HasPrefix(id, "early-") {
			_, _ = io.Copy(io.Discard, r.Body)
			return writeSound(conn, r)
		}
		length := "Connection: close"
		if strings.HasPrefix(id, "early-length") {
			length = fmt.Sprintf("Content-Length: %d", _answerSize)
		}
		_, _ = io.WriteString(conn, headOf(http.StatusOK, id, length)+strings.Repeat("x", _answerSize))
		n, _ := io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		uploads[id] = n
		return false
	}
	f := startRawFleet(t, startEarly(t, "i-1", respond), startEarly(t, "i-2", respond))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 4)
	for _, kind := range []string{"length", "end"} {
		for _, size := range []int{100 << 10, 200 << 10, 512 << 10, _mebibyte} {
			for n := range 8 {
				limit <- struct{}{}
				wg.Go(func() {
					defer func() { <-limit }()
					id := fmt.Sprintf("early-%s-%d-%d", kind, size, n)
					status, got, err := f.uploadRaw(n%2, rawUpload{path: "/b/x", version: "1.1", id: id, size: size, pipelined: n%4 > 1})
					if status != http.StatusOK || err != nil || got != _answerSize {
						t.Errorf("%s: status %d, %d bytes, %v", id, status, got, err)
					}
					mu.Lock()
					defer mu.Unlock()
					if kind == "end" && uploads[id] != int64(size) {
						t.Errorf("%s: %d bytes of the upload arrived", id, uploads[id])
					}
				})
			}
		}
	}
	wg.Wait()
}
