package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// A pull from an isolated control host blocks for about _defaultPollTimeout; then
	// the others are searched, so that a change reaches every node within two seconds.
	// Meanwhile a peer is pulled from every _defaultGossipInterval.
	_defaultPollTimeout    = time.Second
	_defaultGossipInterval = 700 * time.Millisecond
	// _calmGossipInterval is the time between pulls from peers while control hosts in
	// touch with a leader reply to the polls.
	_calmGossipInterval = 5 * time.Second
	// _currentTTL is how long such a reply counts: a poll and its margin.
	_currentTTL = 1500 * time.Millisecond
	_history    = 2000 // events
)

// Config configures a model; zero durations select the defaults.
type Config struct {
	// Node is this node's name; it seeds the choice of hosts and peers.
	Node string
	// Addr is this node's own address, which is never pulled from.
	Addr string
	// Center is this node's data centre. Control hosts in it are preferred.
	Center string
	// Control lists the addresses of the control hosts.
	Control []string
	// Seeds lists addresses of peers to use while no other member is known.
	Seeds []string
	// PollTimeout is how long a control host holds a pull while it has no changes.
	PollTimeout time.Duration
	// GossipInterval is the time between pulls from random peers.
	GossipInterval time.Duration
}

// Model is a node's view with the state of its updates. It is not safe for
// concurrent use.
type Model struct {
	cfg          Config
	control      []string // the latest known control hosts
	view         *view.View
	history      *view.History
	hosts        map[string]hostState // by address of a control host
	pollAddr     string               // the control host that is polled, or ""
	polledAt     time.Duration
	progressAt   time.Duration // when part of the reply to the poll last arrived
	fetchAddr    string        // the control host whose changes are pulled in a search, or ""
	searchAt     time.Duration // when to ask the next host of a search
	searches     int           // pulls of the current search
	currentHost  string        // the control host to poll, or "" while none is current
	rotateAt     time.Duration // when to ask another control host
	gossiping    bool
	controlIndex int
	gossipRound  uint64
	at           time.Duration
	rumors       map[view.Key]receivedRumor
	departures   map[string]int64 // by ID of this node's instances: latest start that has left
	controlRev   uint64           // the revision that control was learned at, 0 if only configured
	pruneAt      time.Duration
	gossipedAt   time.Duration
	currentUntil time.Duration // control hosts count as reachable until then
}

// New returns a model with an empty view.
func New(cfg Config) Model {
	cfg = cfg.withDefaults()
	seed := hash(cfg.Node, 0)
	return Model{
		cfg:          cfg,
		control:      cfg.Control,
		view:         view.New(),
		history:      view.NewHistory(0, _history),
		rumors:       map[view.Key]receivedRumor{},
		departures:   map[string]int64{},
		hosts:        map[string]hostState{},
		controlIndex: int(seed % uint64(max(1, len(cfg.Control)))),
	}
}

// View returns the view; the caller must not modify it.
func (m Model) View() *view.View {
	return m.view
}

// Update applies a message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case TickMsg:
		return m.tick(msg.At)
	case DeltaMsg:
		return m.handleDelta(msg)
	case LocalInstancesMsg:
		return m.addLocal(msg)
	case RumorMsg:
		return m, viewChanged(m.view, m.mergeRumors([]proto.Rumor{msg.Rumor}, msg.At))
	case PullProgressMsg:
		return m.handleProgress(msg), nil
	case PullFailedMsg:
		return m.handleFailure(msg), nil
	}
	return m, nil
}

// HandlePull returns the reply to a peer's pull.
func (m Model) HandlePull(p proto.Pull) proto.Delta {
	d := proto.Delta{Cluster: m.view.Cluster, From: p.Rev, Rev: m.view.Rev, Control: m.learnedControl()}
	if p.Cluster == 0 || p.Cluster == m.view.Cluster {
		d.Rumors = m.rumorsToSend(p.Rev == 0)
	}
	if p.Head || p.Rev >= m.view.Rev || p.Cluster != 0 && p.Cluster != m.view.Cluster {
		return d
	}
	if events, ok := m.history.Since(p.Rev); ok {
		d.Events = slices.Clone(events)
		return d
	}
	s := m.view.Snapshot()
	d.Snapshot = &s
	return d
}

func (m Model) tick(at time.Duration) (Model, []Cmd) {
	m.at = at
	var cmds []Cmd
	if at >= m.pruneAt {
		m.pruneAt = at + _rumorPruneInterval
		cmds = viewChanged(m.view, m.pruneRumors(at))
	}
	cmds = append(cmds, m.pollControl()...)
	if m.gossiping || at < m.gossipAt() {
		return m, cmds
	}
	m.gossipedAt = at
	m.gossipRound++
	if addr := m.gossipPeer(); addr != "" {
		m.gossiping = true
		cmds = append(cmds, PullCmd{Source: Peer, Addr: addr, Pull: m.pull(0)})
	}
	return m, cmds
}

// gossipAt returns when to pull from a peer again. A large reply of a control host gets the
// node's link for itself.
func (m Model) gossipAt() time.Duration {
	if m.gossipedAt == 0 {
		return 0
	}
	if m.at < m.currentUntil || m.isReceiving() {
		return m.gossipedAt + _calmGossipInterval
	}
	return m.gossipedAt + m.cfg.GossipInterval
}

// NextTick returns when the model needs its next TickMsg, unless another message comes
// first.
func (m Model) NextTick() time.Duration {
	next := m.pruneAt
	switch {
	case len(m.control) == 0:
	case m.currentHost == "" && m.anyIdle():
		next = min(next, m.searchAt)
	case m.currentHost != "":
		next = min(next, m.rotateAt)
	}
	if m.pollAddr != "" {
		next = min(next, m.pollOverdueAt())
	}
	if !m.gossiping {
		next = min(next, m.gossipAt(), max(m.currentUntil, m.gossipedAt+m.cfg.GossipInterval))
	}
	return next
}

func (m Model) pull(wait time.Duration) proto.Pull {
	return proto.Pull{Node: m.cfg.Node, Cluster: m.view.Cluster, Rev: m.view.Rev, Wait: wait}
}

// head returns a pull that asks for the revision alone.
func (m Model) head() proto.Pull {
	pull := m.pull(0)
	pull.Head = true
	return pull
}

// gossipPeer returns the address of a random member, or of a random seed while no
// other member is known.
func (m Model) gossipPeer() string {
	var addrs []string
	for _, member := range m.view.Members() {
		if member.Addr != m.cfg.Addr {
			addrs = append(addrs, member.Addr)
		}
	}
	if len(addrs) == 0 {
		addrs = m.cfg.Seeds
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[hash(m.cfg.Node, m.gossipRound)%uint64(len(addrs))]
}

// RandomPeers returns the addresses of at most n other members, chosen at random,
// without the given address and unreachable members.
func (m Model) RandomPeers(n int, except string) []string {
	var addrs []string
	for _, member := range m.view.Members() {
		if member.Addr != m.cfg.Addr && member.Addr != except && member.Reachability != view.Unreachable {
			addrs = append(addrs, member.Addr)
		}
	}
	start := hash(m.cfg.Node, m.gossipRound)
	var drawn []string
	for i := range min(n, len(addrs)) {
		drawn = append(drawn, addrs[(start+uint64(i*len(addrs)/n))%uint64(len(addrs))])
	}
	return drawn
}

// handleProgress keeps the poll from being overdue while its reply arrives.
func (m Model) handleProgress(msg PullProgressMsg) Model {
	m.at = msg.At
	if msg.Source == Control && msg.Addr == m.pollAddr {
		m.progressAt = msg.At
	}
	return m
}

func (m Model) handleFailure(msg PullFailedMsg) Model {
	if msg.Source == Peer {
		m.gossiping = false
		return m
	}
	m.at = msg.At
	m.pullEnded(msg.Addr)
	m.suspect(msg.Addr)
	return m
}

// Control returns the addresses of the control hosts.
func (m Model) Control() []string {
	return m.control
}

// CurrentHost returns the control host that has lately said that it is current, or "".
func (m Model) CurrentHost() string {
	return m.currentHost
}

// learnedControl returns the control hosts, or nil while only the configured ones are
// known.
func (m Model) learnedControl() []string {
	if m.controlRev == 0 {
		return nil
	}
	return m.control
}

// updateControl stores the control hosts of a reply, unless they were learned at a
// later revision. The configured ones stay at the end of the list as a fallback.
func (m Model) updateControl(d proto.Delta) Model {
	if len(d.Control) == 0 || d.Rev < m.controlRev {
		return m
	}
	defer m.forgetHosts()
	m.controlRev = max(d.Rev, 1)
	list := slices.Clone(d.Control)
	for _, addr := range m.cfg.Control {
		if !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	m.control = list
	return m
}

func (m Model) handleDelta(msg DeltaMsg) (Model, []Cmd) {
	before := m.view.Rev
	if m.view.Cluster == 0 || m.view.Cluster == msg.Delta.Cluster {
		m = m.updateControl(msg.Delta)
	}
	m, cmds := m.apply(msg)
	if m.view.Cluster == msg.Delta.Cluster {
		cmds = append(cmds, viewChanged(m.view, m.mergeRumors(msg.Delta.Rumors, msg.At))...)
	}
	advanced := m.view.Rev > before
	if msg.Source == Peer {
		m.gossiping = false
		if advanced && m.at < m.currentUntil {
			// The polled control host has not sent this change; ask another one.
			m.rotateAt = 0
		}
		return m, cmds
	}
	m.at = msg.At
	m.pullEnded(msg.Addr)
	m.setRev(msg.Addr, msg.Delta)
	m.setCenter(msg.Addr, msg.Center)
	m.replied(msg.Addr, msg.Delta.Current && msg.Delta.Rev >= m.view.Rev && !m.isForeign(msg.Delta))
	return m, cmds
}

// isForeign reports whether a delta is from another cluster.
func (m Model) isForeign(d proto.Delta) bool {
	return m.view.Cluster != 0 && d.Cluster != 0 && d.Cluster != m.view.Cluster
}

// apply applies a delta that starts at the current revision or contains a newer
// snapshot, and ignores any other.
func (m Model) apply(msg DeltaMsg) (Model, []Cmd) {
	d := msg.Delta
	if m.isForeign(d) {
		return m, []Cmd{SourceRejectedCmd{Addr: msg.Addr, Cluster: d.Cluster}}
	}
	if d.Rev <= m.view.Rev {
		return m, nil
	}
	if d.Snapshot != nil && d.Snapshot.Rev > m.view.Rev {
		m.view = view.FromSnapshot(*d.Snapshot)
		m.history = view.NewHistory(m.view.Rev, _history)
		return m, []Cmd{ViewChangedCmd{Rev: m.view.Rev, All: true}}
	}
	if d.From != m.view.Rev {
		return m, nil
	}
	var affected []string
	for _, e := range d.Events {
		affected = append(affected, m.view.Apply(e)...)
		m.history.Add(e)
	}
	affected = append(affected, m.pruneRumors(msg.At)...)
	slices.Sort(affected)
	return m, []Cmd{ViewChangedCmd{Rev: m.view.Rev, Services: slices.Compact(affected)}}
}

func (c Config) withDefaults() Config {
	if c.PollTimeout == 0 {
		c.PollTimeout = _defaultPollTimeout
	}
	if c.GossipInterval == 0 {
		c.GossipInterval = _defaultGossipInterval
	}
	return c
}

func hash(node string, round uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), round))
}
