package trials

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const _mebibyte = 1 << 20

// sink is a backend server that reads request bodies and counts their bytes.
type sink struct {
	id     string
	server *httptest.Server

	mu       sync.Mutex
	complete []int64 // sizes of the bodies that arrived whole
	aborted  int     // bodies that broke off
	hold     chan struct{}
}

// startSink starts a sink that announces itself to a node until the test ends.
func (f *fleet) startSink(id, service string, node int) *sink {
	s := &sink{id: id}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	f.t.Cleanup(s.server.Close)
	f.announceUntilEnd(id, service, strings.TrimPrefix(s.server.URL, "http://"), node)
	return s
}

// announceUntilEnd announces a backend server to a node every second until the test
// ends.
func (f *fleet) announceUntilEnd(id, service, addr string, node int) {
	body := fmt.Appendf(nil, `{"id":%q,"service":%q,"addr":%q,"lease":"5s"}`, id, service, addr)
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		for {
			_, _, _ = f.call(http.MethodPost, "http://"+f.nodes[node].Local+"/v1/announce", nil, body)
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
}

func (s *sink) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/hold") {
		s.mu.Lock()
		hold := s.hold
		s.mu.Unlock()
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}
	n, err := io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.aborted++
		return
	}
	s.complete = append(s.complete, n)
	fmt.Fprintf(w, "%s %d", s.id, n)
}

func (s *sink) counts() (complete []int64, aborted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int64(nil), s.complete...), s.aborted
}

// uploadFleet starts two nodes with a sink each, of a service with that many slots an
// instance.
func uploadFleet(t *testing.T, slots int) (*fleet, []*sink) {
	f := newFleet(t, 1, 2)
	f.startAll()
	f.putService(0, spec.Service{
		Name: "photos", Floor: 1, Patience: spec.Quick, Warmup: spec.Duration(time.Millisecond), Slots: slots,
		Timeout: spec.Duration(2 * time.Second),
		Routes:  []spec.Route{{Path: "/photos", Method: http.MethodPost, Once: true}},
	}.WithDefaults(), "photos")
	sinks := []*sink{f.startSink("sink-1", "photos", 0), f.startSink("sink-2", "photos", 1)}
	f.awaitInstances(2)
	return f, sinks
}

// upload sends a body of n bytes to a node and returns the status and the response.
func (f *fleet) upload(node int, path string, n int64) (int, string, error) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.nodes[node].Caller+path, io.LimitReader(zeros{}, n))
	if err != nil {
		return 0, "", err
	}
	r.ContentLength = n
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// zeros is an endless source of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestUploadTriesAnotherOwner checks that an upload which the first owner refuses, since
// its instance is busy, is sent whole to another one: no byte of it was read before.
func TestUploadTriesAnotherOwner(t *testing.T) {
	f, sinks := uploadFleet(t, 1)
	release := make(chan struct{})
	sinks[0].mu.Lock()
	sinks[0].hold = release
	sinks[0].mu.Unlock()
	holding := make(chan error, 1)
	go func() {
		_, _, err := f.upload(0, "/photos/hold", 1)
		holding <- err
	}()
	time.Sleep(100 * time.Millisecond)
	for _, size := range []int64{1000, 20_000, 100_000, _mebibyte} {
		status, body, err := f.upload(0, "/photos/1", size)
		if want := fmt.Sprint("sink-2 ", size); status != http.StatusOK || body != want || err != nil {
			t.Errorf("%d bytes: status %d, %q, %v; want %q", size, status, body, err, want)
		}
	}
	close(release)
	if err := <-holding; err != nil {
		t.Error(err)
	}
	if complete, aborted := sinks[0].counts(); len(complete) != 1 || aborted != 0 {
		t.Errorf("the busy instance got bodies of %v, %d broke off", complete, aborted)
	}
}

// TestBrokenUploads sends bodies that stall or break off. An instance must never get one
// that looks complete, and a caller that stalls must be told in time whether its request
// ran.
func TestBrokenUploads(t *testing.T) {
	cases := []struct {
		name   string
		sent   int
		close  bool
		status int // 0 if the caller does not wait for it
	}{
		{"stalls at the start", 10, false, http.StatusRequestTimeout},
		{"stalls while it is streamed", 200 << 10, false, http.StatusGatewayTimeout},
		{"cut at the start", 10, true, 0},
		{"cut while it is streamed", 200 << 10, true, 0},
	}
	f, sinks := uploadFleet(t, 4)
	for _, c := range cases {
		conn, err := net.Dial("tcp", f.nodes[0].Caller)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /photos/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", _mebibyte)
		if _, err := conn.Write(make([]byte, c.sent)); err != nil {
			t.Fatal(err)
		}
		if c.close {
			time.Sleep(100 * time.Millisecond)
			_ = conn.Close()
			continue
		}
		if err := conn.SetReadDeadline(time.Now().Add(4 * time.Second)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", c.name, response.StatusCode, c.status)
		}
	}
	f.eventually("a served upload", func() error {
		status, _, err := f.upload(0, "/photos/1", 1)
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	})
	for _, s := range sinks {
		complete, _ := s.counts()
		for _, n := range complete {
			if n != 1 {
				t.Errorf("%s got a body of %d bytes as complete", s.id, n)
			}
		}
	}
}

// TestUploadMemory checks that the memory of a node does not grow with the size of the
// bodies that it passes on.
func TestUploadMemory(t *testing.T) {
	const (
		uploads   = 32
		size      = 64 * _mebibyte
		maxMemory = 60 * _mebibyte
	)
	f, _ := uploadFleet(t, uploads)
	service := spec.Service{
		Name: "photos", Floor: 1, Patience: spec.Quick, Warmup: spec.Duration(time.Millisecond), Slots: uploads,
		Timeout: spec.Duration(time.Minute),
		Routes:  []spec.Route{{Path: "/photos", Method: http.MethodPost, Once: true}},
	}.WithDefaults()
	f.putService(0, service, "longer")
	f.eventually("the longer timeout", f.checkConverged)
	var wg sync.WaitGroup
	for range uploads {
		wg.Go(func() {
			status, body, err := f.upload(0, "/photos/1", size)
			if status != http.StatusOK || !strings.HasSuffix(body, strconv.Itoa(size)) || err != nil {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
		})
	}
	wg.Wait()
	for _, n := range f.nodes {
		if peak := f.peakMemory(n.Name); peak > maxMemory {
			t.Errorf("%s used %d MiB at its peak", n.Name, peak/_mebibyte)
		}
	}
}

// peakMemory returns the peak resident memory of a process in bytes.
func (f *fleet) peakMemory(name string) int64 {
	f.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.procs[name].Process.Pid))
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kibibytes, err := strconv.ParseInt(strings.Fields(string(value))[0], 10, 64)
			if err != nil {
				f.t.Fatal(err)
			}
			return kibibytes << 10
		}
	}
	f.t.Fatalf("no peak memory of %s", name)
	return 0
}
