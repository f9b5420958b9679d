package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/fake"
)

const (
	_key = "a-key-for-this-soak"
	// _settle is how long after a fault the fleet may still show it: a lost
	// leader is replaced, a detector has decided and paths are probed within it.
	_settle = 5 * time.Second
	_work   = 20 * time.Millisecond
)

var _centers = []string{"mida", "kilifi", "shimoni", "vanga"}

// world is the fleet, its backend servers and the links between them.
type world struct {
	ctx      context.Context //nolint:containedctx // the run's, for what lives until its end
	cfg      Config
	procs    *procs
	controls []config.Control
	nodes    []config.Node
	links    []*fake.Relay          // to each node
	mesh     map[[2]int]*fake.Relay // between control hosts

	mu       sync.Mutex
	hosts    []*proc // of control
	fronts   []*proc // the nodes
	starts   []int   // of each node
	backends []*server
	gone     []*server
	names    int
}

// server is one backend server and what ends it.
type server struct {
	*fake.Backend
	end context.CancelFunc
}

func newWorld(ctx context.Context, cfg Config) (*world, error) {
	w := &world{
		ctx: ctx, cfg: cfg, procs: newProcs(cfg.Binary, cfg.Folder), mesh: map[[2]int]*fake.Relay{},
		hosts: make([]*proc, cfg.Controls), fronts: make([]*proc, cfg.Nodes), starts: make([]int, cfg.Nodes),
		backends: make([]*server, cfg.Nodes),
	}
	var hosts []config.Host
	for n := range cfg.Controls {
		addr, err := fake.FreeAddr(ctx)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, config.Host{Name: fmt.Sprint("c", n+1), Addr: addr})
	}
	for n := range cfg.Controls {
		if err := w.addControl(n, hosts); err != nil {
			return nil, err
		}
	}
	for n := range cfg.Nodes {
		if err := w.addNode(n, hosts); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// addControl sets up a control host that reaches each other one by a link.
func (w *world) addControl(n int, hosts []config.Host) error {
	api, err := fake.FreeAddr(w.ctx)
	if err != nil {
		return err
	}
	seen := slices.Clone(hosts)
	for to := range hosts {
		if to == n {
			continue
		}
		link, err := fake.StartRelay(w.ctx, hosts[to].Addr)
		if err != nil {
			return errors.Errorf("link to %s: %w", hosts[to].Name, err)
		}
		w.mesh[[2]int{n, to}] = link
		seen[to].Addr = link.Addr()
	}
	w.controls = append(w.controls, config.Control{
		Name: hosts[n].Name, Center: _centers[n%len(_centers)], Data: filepath.Join(w.cfg.Folder, hosts[n].Name),
		API: api, Peer: hosts[n].Addr, Key: _key, Hosts: seen,
	})
	return nil
}

// addNode sets up a node that others reach by a link.
func (w *world) addNode(n int, hosts []config.Host) error {
	var addrs []string
	for range 3 {
		addr, err := fake.FreeAddr(w.ctx)
		if err != nil {
			return err
		}
		addrs = append(addrs, addr)
	}
	link, err := fake.StartRelay(w.ctx, addrs[1])
	if err != nil {
		return errors.Errorf("link to node %d: %w", n+1, err)
	}
	w.links = append(w.links, link)
	node := config.Node{
		Name: fmt.Sprint("n", n+1), Center: _centers[n%len(_centers)],
		Caller: addrs[0], Peer: addrs[1], Local: addrs[2], Key: _key,
	}
	if !plannedOnly(w.cfg.Seed) {
		// A link takes connections also while its node is down, which a host does not.
		node.Advertise = link.Addr()
	}
	for _, h := range hosts {
		node.Control = append(node.Control, h.Addr)
	}
	w.nodes = append(w.nodes, node)
	return nil
}

// start starts every process and a backend server beside each node.
func (w *world) start() error {
	for n := range w.controls {
		if err := w.startControl(n); err != nil {
			return err
		}
	}
	for n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
		if err := w.startBackend(n); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) startControl(n int) error {
	p, err := w.procs.start(w.controls[n].Name, "control", w.controls[n])
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[n] = p
	return nil
}

func (w *world) startNode(n int) error {
	p, err := w.procs.start(w.nodes[n].Name, "node", w.nodes[n])
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fronts[n] = p
	w.starts[n]++
	return nil
}

// startBackend starts a new backend server beside a node.
func (w *world) startBackend(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names++
	ctx, cancel := context.WithCancel(w.ctx)
	b, err := fake.StartBackend(ctx, fake.BackendConfig{
		ID: fmt.Sprint("i", w.names), Service: _service, Node: w.nodes[n].Local,
	})
	if err != nil {
		cancel()
		return errors.Errorf("backend server beside node %d: %w", n+1, err)
	}
	b.SetBehaviour(fake.Behaviour{Delay: _work})
	if old := w.backends[n]; old != nil {
		w.gone = append(w.gone, old)
	}
	w.backends[n] = &server{Backend: b, end: cancel}
	return nil
}

// backend returns the backend server beside a node now.
func (w *world) backend(n int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backends[n]
}

// node returns a node's process now.
func (w *world) node(n int) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fronts[n]
}

// control returns a control host's process now.
func (w *world) control(n int) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[n]
}

// startsOf returns how often a node was started.
func (w *world) startsOf(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[n]
}

// runs returns how often each marked request ran, at any backend server.
func (w *world) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, b := range slices.Concat(w.backends, w.gone) {
		for mark, n := range b.RunCounts() {
			out[mark] += n
		}
	}
	return out
}
