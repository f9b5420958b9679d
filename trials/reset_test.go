package trials

import (
	"bufio"
	"cmp"
	"context"
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

const (
	// _answerSize is the size of a whole response, and _partSize of one that breaks off.
	_answerSize = 5000
	_partSize   = 1200
	_uploadSize = _mebibyte
)

// respondEarly responds without a length, at once or after the upload, in the way that the
// path names: /b/KIND/MILLISECONDS.
func respondEarly(conn *net.TCPConn, r *http.Request) bool {
	parts := strings.Split(r.URL.Path, "/")
	if len(parts) != 4 {
		_, _ = io.Copy(io.Discard, r.Body)
		return writeSound(conn, r)
	}
	size := _answerSize
	if parts[2] == "reset" {
		size = _partSize
	}
	if parts[2] == "whole" {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	head := headOf(http.StatusOK, r.Header.Get(platform.Headers().RequestID), "Connection: close")
	_, _ = io.WriteString(conn, head+strings.Repeat("x", size))
	millis, _ := strconv.Atoi(parts[3])
	time.Sleep(time.Duration(millis) * time.Millisecond)
	switch parts[2] {
	case "reset":
		_ = conn.SetLinger(0)
	case "drain":
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}
	return false
}

// sendPieces writes a body in pieces of 4 KiB, one a millisecond, until a write fails.
func sendPieces(w io.Writer, size int) {
	piece := make([]byte, 4<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// rawUpload is an upload over HTTP/1.
type rawUpload struct {
	path, version, id string
	size              int
	sent              int  // bytes that are sent at all, 0 for the whole upload
	pipelined         bool // behind another request on its connection
}

func (u rawUpload) head() string {
	names := platform.Headers()
	head := fmt.Sprintf("POST %s HTTP/%s\r\nHost: h.example\r\n%s: %s\r\n%s: 3000\r\nContent-Length: %d\r\n\r\n",
		u.path, u.version, names.RequestID, u.id, names.Timeout, u.size)
	if u.pipelined {
		head = fmt.Sprintf("GET /a/first HTTP/1.1\r\nHost: h.example\r\n%s: %s-first\r\n%s: 3000\r\n\r\n",
			names.RequestID, u.id, names.Timeout) + head
	}
	return head
}

// uploadRaw sends an upload to a node. It returns the status and size of the response, and an
// error unless that is whole.
func (f *fleet) uploadRaw(node int, u rawUpload) (int, int, error) {
	conn, err := net.Dial("tcp", f.nodes[node].Caller)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	go func() {
		_, _ = io.WriteString(conn, u.head())
		sendPieces(conn, cmp.Or(u.sent, u.size))
	}()
	reader := bufio.NewReader(conn)
	if u.pipelined {
		if _, _, err := readAnswer(reader, http.MethodGet); err != nil {
			return 0, 0, err
		}
	}
	return readAnswer(reader, http.MethodPost)
}

func readAnswer(reader *bufio.Reader, method string) (int, int, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}

// uploadHTTP2 is like uploadRaw, over HTTP/2.
func (f *fleet) uploadHTTP2(node int, path, id string) (int, int, error) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(f.t.Context(), 5*time.Second)
	defer cancel()
	body, pieces := io.Pipe()
	defer body.Close()
	go func() {
		sendPieces(pieces, _uploadSize)
		_ = pieces.Close()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.nodes[node].Caller+path, body)
	if err != nil {
		return 0, 0, err
	}
	names := platform.Headers()
	r.Host, r.ContentLength = "h.example", _uploadSize
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Timeout, "3000")
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, len(data), err
}

// TestResetDuringUpload guards against a caller that takes a part of a response for the whole,
// since the backend server reset the connection during a long upload.
func TestResetDuringUpload(t *testing.T) {
	// Each kind of response is tried with a fleet of its own, as instances whose responses
	// break off get no requests for a while.
	protocols := []struct {
		name  string
		send  func(f *fleet, node int, path, id string) (int, int, error)
		stops bool // the caller stops in the middle of the upload
	}{
		{"HTTP/1.1", func(f *fleet, node int, path, id string) (int, int, error) {
			return f.uploadRaw(node, rawUpload{path: path, version: "1.1", id: id, size: _uploadSize})
		}, false},
		{"stopped", func(f *fleet, node int, path, id string) (int, int, error) {
			return f.uploadRaw(node, rawUpload{path: path, version: "1.1", id: id, size: _uploadSize, sent: _uploadSize / 2})
		}, true},
		{"pipelined", func(f *fleet, node int, path, id string) (int, int, error) {
			return f.uploadRaw(node, rawUpload{path: path, version: "1.1", id: id, size: _uploadSize, pipelined: true})
		}, false},
		{"HTTP/1.0", func(f *fleet, node int, path, id string) (int, int, error) {
			return f.uploadRaw(node, rawUpload{path: path, version: "1.0", id: id, size: _uploadSize})
		}, false},
		{"HTTP/2", (*fleet).uploadHTTP2, false},
	}
	kinds := []struct {
		name      string
		requests  int
		mustServe bool // each response is whole
	}{
		{"reset", 12, false}, {"close", 12, false}, {"drain", 6, true}, {"whole", 6, true},
	}
	for _, protocol := range protocols {
		for _, kind := range kinds {
			if protocol.stops && kind.name == "whole" {
				continue // the server waits for the rest
			}
			t.Run(protocol.name+" "+kind.name, func(t *testing.T) {
				f := startRawFleet(t, startEarly(t, "i-1", respondEarly), startEarly(t, "i-2", respondEarly))
				var mu sync.Mutex
				answers, whole := 0, 0
				var wg sync.WaitGroup
				limit := make(chan struct{}, 4)
				for n := range kind.requests {
					limit <- struct{}{}
					wg.Go(func() {
						defer func() { <-limit }()
						path := fmt.Sprintf("/b/%s/%d", kind.name, 5+n*4)
						status, size, err := protocol.send(f, n%2, path, fmt.Sprintf("u-%d", n))
						mu.Lock()
						defer mu.Unlock()
						if status == http.StatusOK {
							answers++
						}
						switch {
						case status != http.StatusOK:
						case err == nil && size != _answerSize:
							t.Errorf("request %d: %d bytes were taken for a whole response", n, size)
						case err == nil:
							whole++
						}
						if kind.mustServe && (status != http.StatusOK || err != nil) {
							t.Errorf("request %d: status %d, %d bytes, %v", n, status, size, err)
						}
					})
				}
				wg.Wait()
				t.Logf("%d requests, %d responses begun, %d whole", kind.requests, answers, whole)
				if answers == 0 {
					t.Error(errors.New("no response has begun"))
				}
			})
		}
	}
}
