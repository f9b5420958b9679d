package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
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

	// _deadly is in the path of a request that crashes its backend server.
	_deadly = "deadly"
)

// Behaviour is how a backend server treats its next requests.
type Behaviour struct {
	// Delay is added to each request.
	Delay time.Duration
	// Drip is waited before each piece of a download but the first.
	Drip time.Duration
	// Status is answered instead of 200 when it is set.
	Status int
	// Share is the part of the requests that Status and Delay apply to; 0
	// means all of them.
	Share float64
	// Fault is how the answer is spoilt.
	Fault Fault
}

// Fault is one way to spoil an answer.
type Fault string

const (
	// Whole answers are not spoilt.
	Whole Fault = ""
	// Short answers end before their length.
	Short Fault = "short"
	// Cut chunked answers end without their last chunk.
	Cut Fault = "cut"
	// Extra bytes follow the answer.
	Extra Fault = "extra"
	// Crossed answers carry another request's identifier.
	Crossed Fault = "crossed"
	// Early answers come before the request's body is read.
	Early Fault = "early"
	// Endless answers have no length at all.
	Endless Fault = "endless"
	// Reset closes the connection instead of answering.
	Reset Fault = "reset"
	// Hang never answers.
	Hang Fault = "hang"
)

// BackendConfig sets up a backend server.
type BackendConfig struct {
	ID      string
	Service string
	Listen  string
	// Node is the address that the node on this host takes announcements at.
	Node string
}

// Backend is a backend server that answers who it is and counts what it ran.
type Backend struct {
	cfg       BackendConfig
	addr      string
	server    *http.Server
	behaviour atomic.Pointer[Behaviour]
	leaving   atomic.Bool
	count     atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// Answer is what a backend server says of a request.
type Answer struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Request  string `json:"request"`
	Body     string `json:"body,omitempty"`
}

// StartBackend serves and announces itself until the context ends.
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
		go b.announceAll(ctx)
	}
	return b, nil
}

// Addr returns the backend server's address.
func (b *Backend) Addr() string { return b.addr }

// Behave changes how the next requests are treated.
func (b *Backend) Behave(to Behaviour) { b.behaviour.Store(&to) }

// Count returns the number of requests that reached the backend server.
func (b *Backend) Count() int64 { return b.count.Load() }

// Runs returns how often each marked request ran, by its Mark header.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for mark, n := range b.runs {
		runs[mark] = n
	}
	return runs
}

// Crash closes the listener and every connection.
func (b *Backend) Crash() error {
	b.leaving.Store(true)
	return b.server.Close()
}

// Crashed reports whether the backend server went away.
func (b *Backend) Crashed() bool { return b.leaving.Load() }

// Leave tells the node that this backend server leaves.
func (b *Backend) Leave(ctx context.Context) error {
	b.leaving.Store(true)
	return b.post(ctx, "/v1/leave/"+b.cfg.ID, nil)
}

func (b *Backend) announceAll(ctx context.Context) {
	ticker := time.NewTicker(_announceEvery)
	defer ticker.Stop()
	for {
		if !b.leaving.Load() {
			// The next announcement makes up for a lost one.
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
		return errors.Errorf("announcement: %w", err)
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
	how := *b.behaviour.Load()
	if how.Share > 0 && float64(n%100) >= how.Share*100 {
		how = Behaviour{}
	}
	if strings.Contains(r.URL.Path, _deadly) {
		_ = b.Crash()
		return
	}
	if b.spoil(w, r, how.Fault) {
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
	case <-time.After(how.Delay):
	case <-r.Context().Done():
		return
	}
	if strings.HasPrefix(r.URL.Path, "/blob") {
		b.serveBlob(w, r, how)
		return
	}
	b.answer(w, r, how, string(body))
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, how Behaviour, body string) {
	data, err := json.Marshal(Answer{
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
	if how.Status != 0 {
		w.WriteHeader(how.Status)
	}
	_, _ = w.Write(data)
}
