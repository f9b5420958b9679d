package health

import (
	"maps"
	"slices"
	"time"
)

const (
	_defaultSuspectAfter = 6 * time.Second
	_defaultRemoveAfter  = 15 * time.Minute

	// _maxProbers is the number of members that probe a suspect.
	_maxProbers = 2
	// No member is suspected if several, and more than 1/_maxSilentDivisor of all, are
	// silent.
	_maxSilentDivisor = 2
)

// Config configures a detector. Zero values select the defaults.
type Config struct {
	// SuspectAfter is the time without heartbeats after which a member is suspected.
	SuspectAfter time.Duration
	// RemoveAfter is the time without heartbeats after which an unreachable member is
	// removed.
	RemoveAfter time.Duration
}

// Model is the state of a detector. It is not safe for concurrent use.
type Model struct {
	cfg     Config
	members map[string]*member
}

type member struct {
	epoch          uint64
	center         string
	lastSeen       time.Duration
	unreachable    bool
	probedAt       time.Duration
	pendingProbers map[string]bool
}

// New returns a detector without members.
func New(cfg Config) Model {
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = _defaultSuspectAfter
	}
	if cfg.RemoveAfter == 0 {
		cfg.RemoveAfter = _defaultRemoveAfter
	}
	return Model{cfg: cfg, members: map[string]*member{}}
}

// Update applies a message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case HeartbeatMsg:
		return m, m.heartbeat(msg)
	case ProbeResultMsg:
		return m, m.probeResult(msg)
	case RemovedMsg:
		delete(m.members, msg.Node)
	case TickMsg:
		return m, m.check(msg.At)
	}
	return m, nil
}

func (m Model) heartbeat(msg HeartbeatMsg) []Cmd {
	known := m.members[msg.Node]
	if known == nil {
		known = &member{}
		m.members[msg.Node] = known
	}
	if msg.Epoch < known.epoch {
		return nil
	}
	recovered := known.unreachable
	known.epoch = msg.Epoch
	known.center = msg.Center
	known.lastSeen = msg.At
	known.unreachable = false
	known.pendingProbers = nil
	if !recovered {
		return nil
	}
	return []Cmd{ReachableCmd{Node: msg.Node, Epoch: msg.Epoch}}
}

func (m Model) check(at time.Duration) []Cmd {
	silent := m.silent(at)
	if m.isLocalFault(len(silent)) {
		return nil
	}
	var cmds []Cmd
	for _, node := range silent {
		cmds = append(cmds, m.suspect(node, at)...)
	}
	return cmds
}

// silent returns the members not seen within SuspectAfter, sorted by name.
func (m Model) silent(at time.Duration) []string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(m.members)) {
		if at >= m.members[node].lastSeen+m.cfg.SuspectAfter {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// isLocalFault reports whether so many members are silent that the cause is likely
// to be on this side of the network.
func (m Model) isLocalFault(silent int) bool {
	return silent > 1 && silent > len(m.members)/_maxSilentDivisor
}

func (m Model) suspect(node string, at time.Duration) []Cmd {
	s := m.members[node]
	if s.unreachable && at >= s.lastSeen+m.cfg.RemoveAfter {
		return []Cmd{RemoveCmd{Node: node, Epoch: s.epoch}}
	}
	if s.unreachable || at < s.probedAt+m.cfg.SuspectAfter && s.pendingProbers != nil {
		return nil
	}
	s.probedAt = at
	s.pendingProbers = map[string]bool{}
	probers := m.selectProbers(node, at)
	if len(probers) == 0 {
		s.unreachable = true
		return []Cmd{UnreachableCmd{Node: node, Epoch: s.epoch}}
	}
	var cmds []Cmd
	for _, prober := range probers {
		s.pendingProbers[prober] = true
		cmds = append(cmds, ProbeCmd{Node: node, Epoch: s.epoch, Prober: prober})
	}
	return cmds
}

// selectProbers returns the members that probe a suspect. Members in other data
// centres than the suspect's come first.
func (m Model) selectProbers(node string, at time.Duration) []string {
	var sameCenter, others []string
	for _, prober := range slices.Sorted(maps.Keys(m.members)) {
		candidate := m.members[prober]
		if prober == node || candidate.unreachable || at >= candidate.lastSeen+m.cfg.SuspectAfter {
			continue
		}
		if candidate.center == m.members[node].center {
			sameCenter = append(sameCenter, prober)
			continue
		}
		others = append(others, prober)
	}
	others = append(others, sameCenter...)
	return others[:min(len(others), _maxProbers)]
}

func (m Model) probeResult(msg ProbeResultMsg) []Cmd {
	s := m.members[msg.Node]
	if s == nil || s.unreachable || s.epoch != msg.Epoch || !s.pendingProbers[msg.Prober] {
		return nil
	}
	if msg.Reached {
		s.pendingProbers = nil
		s.lastSeen = msg.At
		return nil
	}
	delete(s.pendingProbers, msg.Prober)
	if len(s.pendingProbers) > 0 {
		return nil
	}
	s.unreachable = true
	return []Cmd{UnreachableCmd{Node: msg.Node, Epoch: msg.Epoch}}
}
