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
	// _recoveryTime is how long after a fault its effects may last: a new leader is
	// elected, detectors decide and paths are probed within it.
	_recoveryTime  = 5 * time.Second
	_responseDelay = 20 * time.Millisecond
)

var _centers = []string{"mida", "kilifi", "shimoni", "vanga"}

// fleet is the processes under test, their backend servers and the links between
// them.
type fleet struct {
	ctx          context.Context //nolint:containedctx // the run's context: backend servers and links live until it ends
	cfg          Config
	procs        *processSet
	nodes        []config.Node
	links        []*fake.Relay          // by node
	controlLinks map[[2]int]*fake.Relay // by {from, to}

	mu           sync.Mutex
	controls     []config.Control
	controlCount int // number of control hosts that there ever were
	controlProcs []*process
	nodeProcs    []*process
	nodeStarts   []int // number of starts of each node
	backends     []*backendServer
	retired      []*backendServer
	backendCount int
}

// backendServer is a backend server with the function that stops it.
type backendServer struct {
	*fake.Backend
	cancel context.CancelFunc
}

func newFleet(ctx context.Context, cfg Config) (*fleet, error) {
	f := &fleet{
		ctx: ctx, cfg: cfg, procs: newProcessSet(cfg.Binary, cfg.Folder), controlLinks: map[[2]int]*fake.Relay{},
		controlProcs: make([]*process, cfg.Controls), nodeProcs: make([]*process, cfg.Nodes), nodeStarts: make([]int, cfg.Nodes),
		backends: make([]*backendServer, cfg.Nodes),
	}
	hosts, err := f.addControls()
	if err != nil {
		return nil, err
	}
	for n := range cfg.Nodes {
		if err := f.addNode(n, hosts); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// addControls configures the control hosts and returns those that nodes are told.
func (f *fleet) addControls() ([]config.Host, error) {
	if f.cfg.Losses > 0 {
		return f.addJoiningControls()
	}
	var hosts []config.Host
	for n := range f.cfg.Controls {
		addr, err := fake.FreeAddr(f.ctx)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, config.Host{Name: fmt.Sprint("c", n+1), Addr: addr})
	}
	for n := range f.cfg.Controls {
		if err := f.addControl(n, hosts); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// addControl configures a control host that reaches the others through links.
func (f *fleet) addControl(n int, hosts []config.Host) error {
	api, err := fake.FreeAddr(f.ctx)
	if err != nil {
		return err
	}
	seen := slices.Clone(hosts)
	for to := range hosts {
		if to == n {
			continue
		}
		link, err := fake.StartRelay(f.ctx, hosts[to].Addr)
		if err != nil {
			return errors.Errorf("link to %s: %w", hosts[to].Name, err)
		}
		f.controlLinks[[2]int{n, to}] = link
		seen[to].Addr = link.Addr()
	}
	f.controls = append(f.controls, config.Control{
		Name: hosts[n].Name, Center: _centers[n%len(_centers)], Data: filepath.Join(f.cfg.Folder, hosts[n].Name),
		API: api, Peer: hosts[n].Addr, Key: _key, Hosts: seen,
	})
	return nil
}

// addNode configures a node that others reach through a link.
func (f *fleet) addNode(n int, hosts []config.Host) error {
	var addrs []string
	for range 3 {
		addr, err := fake.FreeAddr(f.ctx)
		if err != nil {
			return err
		}
		addrs = append(addrs, addr)
	}
	link, err := fake.StartRelay(f.ctx, addrs[1])
	if err != nil {
		return errors.Errorf("link to node %d: %w", n+1, err)
	}
	f.links = append(f.links, link)
	node := config.Node{
		Name: fmt.Sprint("n", n+1), Center: _centers[n%len(_centers)],
		Caller: addrs[0], Peer: addrs[1], Local: addrs[2], Key: _key,
	}
	if !f.cfg.plannedOnly() {
		// A link accepts connections even while its node is down; a real host would
		// refuse them. Seeds with planned operations only therefore do without it.
		node.Advertise = link.Addr()
	}
	for _, h := range hosts {
		node.Control = append(node.Control, h.Addr)
	}
	f.nodes = append(f.nodes, node)
	return nil
}

// start starts all processes and a backend server for each node.
func (f *fleet) start() error {
	for n := range f.cfg.Controls {
		if err := f.startControl(n); err != nil {
			return err
		}
	}
	for n := range f.nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
		if err := f.startBackend(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startControl(n int) error {
	settings := f.controlSettings(n)
	p, err := f.procs.start(settings.Name, "control", settings)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controlProcs[n] = p
	return nil
}

func (f *fleet) startNode(n int) error {
	p, err := f.procs.start(f.nodes[n].Name, "node", f.nodes[n])
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodeProcs[n] = p
	f.nodeStarts[n]++
	return nil
}

// startBackend starts a new backend server that announces itself to the node.
func (f *fleet) startBackend(n int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backendCount++
	ctx, cancel := context.WithCancel(f.ctx)
	b, err := fake.StartBackend(ctx, fake.BackendConfig{
		ID: fmt.Sprint("i", f.backendCount), Service: _service, Node: f.nodes[n].Local,
	})
	if err != nil {
		cancel()
		return errors.Errorf("start backend server for node %d: %w", n+1, err)
	}
	b.SetBehaviour(fake.Behaviour{Delay: _responseDelay})
	if old := f.backends[n]; old != nil {
		f.retired = append(f.retired, old)
	}
	f.backends[n] = &backendServer{Backend: b, cancel: cancel}
	return nil
}

// backend returns the node's current backend server.
func (f *fleet) backend(n int) *backendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[n]
}

// node returns the node's current process.
func (f *fleet) node(n int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodeProcs[n]
}

// control returns the control host's current process.
func (f *fleet) control(n int) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlProcs[n]
}

// controlSettings returns the settings of the control host.
func (f *fleet) controlSettings(n int) config.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controls[n]
}

// startCount returns how often the node was started.
func (f *fleet) startCount(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodeStarts[n]
}

// runCounts returns how often each marked request ran, over all backend servers.
func (f *fleet) runCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int{}
	for _, b := range slices.Concat(f.backends, f.retired) {
		for mark, n := range b.RunCounts() {
			out[mark] += n
		}
	}
	return out
}
