package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	_announceEvery = time.Second
	_lease         = "5s"

	// _crashPath crashes the backend server when a request's path contains it.
	_crashPath = "deadly"
)

// Behaviour describes how a backend server handles its next requests.
type Behaviour struct {
	// Delay is added to each request.
	Delay time.Duration
	// ChunkDelay is the delay before each chunk of a download but the first.
	ChunkDelay time.Duration
	// Status replaces status code 200, unless it is 0.
	Status int
	// Share is the fraction of requests that the behaviour applies to; 0 means
	// all of them.
	Share float64
	// Header is added to the header of each response.
	Header http.Header
	// Fault is the fault in the response.
	Fault Fault
}

// Fault is a kind of faulty response.
type Fault string

const (
	// NoFault sends a correct response.
	NoFault Fault = ""
	// Short ends the response before its Content-Length.
	Short Fault = "short"
	// Cut ends a chunked response without its last chunk.
	Cut Fault = "cut"
	// Extra sends extra bytes after the response.
	Extra Fault = "extra"
	// Crossed sends a response with the identifier of another request.
	Crossed Fault = "crossed"
	// Early sends the response before the request body is read.
	Early Fault = "early"
	// Endless sends a response without a Content-Length or chunks.
	Endless Fault = "endless"
	// Reset resets the connection instead of sending a response.
	Reset Fault = "reset"
	// Hang never sends a response.
	Hang Fault = "hang"
)

// BackendConfig configures a backend server.
type BackendConfig struct {
	ID      string
	Service string
	Listen  string
	// Node is the address to which the server announces itself: the one of the
	// node on this host. If empty, the server does not announce itself.
	Node string
}

// Backend is a backend server that responds with its identity and counts the
// requests that it ran.
type Backend struct {
	cfg       BackendConfig
	addr      string
	server    *http.Server
	behaviour atomic.Pointer[Behaviour]
	stopped   atomic.Bool
	count     atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// Response is the body of a backend server's response; it describes the request.
type Response struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Request  string `json:"request"`
	Body     string `json:"body,omitempty"`
}

// StartBackend starts a backend server that serves requests and announces itself
// until the context ends.
func StartBackend(ctx context.Context, cfg BackendConfig) (*Backend, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	b := &Backend{cfg: cfg, addr: l.Addr().String(), runs: map[string]int{}}
	b.behaviour.Store(&Behaviour{})
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = b.server.Close() })
	if cfg.Node != "" {
		go b.announceLoop(ctx)
	}
	return b, nil
}

// Addr returns the backend server's address.
func (b *Backend) Addr() string { return b.addr }

// SetBehaviour sets how the next requests are handled.
func (b *Backend) SetBehaviour(to Behaviour) { b.behaviour.Store(&to) }

// RequestCount returns the number of requests that reached the backend server.
func (b *Backend) RequestCount() int64 { return b.count.Load() }

// RunCounts returns how often each marked request ran, by its Mark header.
func (b *Backend) RunCounts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for mark, n := range b.runs {
		runs[mark] = n
	}
	return runs
}

// Crash closes the listener and every connection, and stops the announcements.
func (b *Backend) Crash() error {
	b.stopped.Store(true)
	return b.server.Close()
}

// Stopped reports whether the backend server crashed or is leaving.
func (b *Backend) Stopped() bool { return b.stopped.Load() }

// Leave tells the node that this backend server is leaving, and stops the
// announcements.
func (b *Backend) Leave(ctx context.Context) error {
	b.stopped.Store(true)
	return b.post(ctx, "/v1/leave/"+b.cfg.ID, nil)
}

// announceLoop renews the announcement until the context ends.
func (b *Backend) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(_announceEvery)
	defer ticker.Stop()
	for {
		if !b.stopped.Load() {
			// An error is ignored, as the announcement is repeated.
			_ = b.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) announce(ctx context.Context) error {
	body, err := json.Marshal(struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		Addr    string `json:"addr"`
		Lease   string `json:"lease"`
	}{b.cfg.ID, b.cfg.Service, b.addr, _lease})
	if err != nil {
		return errors.Errorf("encode announcement: %w", err)
	}
	return b.post(ctx, "/v1/announce", body)
}

func (b *Backend) post(ctx context.Context, path string, body []byte) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.cfg.Node+path, bytes.NewReader(body))
	if err != nil {
		return errors.Errorf("post %s: %w", path, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Errorf("post %s: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Newf("post %s: status %d", path, response.StatusCode)
	}
	return nil
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	n := b.count.Add(1)
	current := *b.behaviour.Load()
	if current.Share > 0 && float64(n%100) >= current.Share*100 {
		current = Behaviour{}
	}
	if strings.Contains(r.URL.Path, _crashPath) {
		_ = b.Crash()
		return
	}
	if b.serveFault(w, r, current.Fault) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if mark := r.Header.Get("Mark"); mark != "" {
		b.mu.Lock()
		b.runs[mark]++
		b.mu.Unlock()
	}
	select {
	case <-time.After(current.Delay):
	case <-r.Context().Done():
		return
	}
	if strings.HasPrefix(r.URL.Path, "/blob") {
		b.serveBlob(w, r, current)
		return
	}
	b.respond(w, r, current, string(body))
}

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, behaviour Behaviour, body string) {
	data, err := json.Marshal(Response{
		Service:  b.cfg.Service,
		Instance: b.cfg.ID,
		Method:   r.Method,
		Path:     r.URL.Path,
		Request:  r.Header.Get("Request-Id"),
		Body:     body,
	})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	maps.Copy(w.Header(), behaviour.Header)
	if behaviour.Status != 0 {
		w.WriteHeader(behaviour.Status)
	}
	_, _ = w.Write(data)
}
