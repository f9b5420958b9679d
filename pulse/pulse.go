package pulse

import (
	"maps"
	"slices"
	"time"
)

const (
	_defaultSilence = 6 * time.Second
	_defaultRemoval = 15 * time.Minute
	_witnesses      = 2
	_massDivisor    = 2
)

// Config sets the detector; zero values take the defaults.
type Config struct {
	// Silence is how long a member may be silent before it is suspected.
	Silence time.Duration
	// Removal is how long a lost member is kept.
	Removal time.Duration
}

// Model is the detector; one loop owns it.
type Model struct {
	cfg     Config
	members map[string]*member
}

type member struct {
	epoch   uint64
	center  string
	heard   time.Duration
	lost    bool
	asked   time.Duration
	reports map[string]bool
}

// New returns a detector that knows no member.
func New(cfg Config) Model {
	if cfg.Silence == 0 {
		cfg.Silence = _defaultSilence
	}
	if cfg.Removal == 0 {
		cfg.Removal = _defaultRemoval
	}
	return Model{cfg: cfg, members: map[string]*member{}}
}

// Update folds one message in and returns what follows from it.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case BeatMsg:
		return m, m.beat(msg)
	case ReportMsg:
		return m, m.report(msg)
	case GoneMsg:
		delete(m.members, msg.Node)
	case ClockMsg:
		return m, m.check(msg.At)
	}
	return m, nil
}

func (m Model) beat(msg BeatMsg) []Cmd {
	known := m.members[msg.Node]
	if known == nil {
		known = &member{}
		m.members[msg.Node] = known
	}
	if msg.Epoch < known.epoch {
		return nil
	}
	back := known.lost
	known.epoch = msg.Epoch
	known.center = msg.Center
	known.heard = msg.At
	known.lost = false
	known.reports = nil
	if !back {
		return nil
	}
	return []Cmd{BackCmd{Node: msg.Node, Epoch: msg.Epoch}}
}

func (m Model) check(at time.Duration) []Cmd {
	silent := m.silent(at)
	if m.mass(len(silent)) {
		return nil
	}
	var cmds []Cmd
	for _, node := range silent {
		cmds = append(cmds, m.suspect(node, at)...)
	}
	return cmds
}

// silent returns the members that were not heard for a while, by name.
func (m Model) silent(at time.Duration) []string {
	var nodes []string
	for _, node := range slices.Sorted(maps.Keys(m.members)) {
		if at >= m.members[node].heard+m.cfg.Silence {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// mass reports a silence so wide that its cause is this side of the network.
func (m Model) mass(silent int) bool {
	return silent > 1 && silent > len(m.members)/_massDivisor
}

func (m Model) suspect(node string, at time.Duration) []Cmd {
	s := m.members[node]
	if s.lost && at >= s.heard+m.cfg.Removal {
		return []Cmd{RemoveCmd{Node: node, Epoch: s.epoch}}
	}
	if s.lost || at < s.asked+m.cfg.Silence && s.reports != nil {
		return nil
	}
	s.asked = at
	s.reports = map[string]bool{}
	witnesses := m.witnesses(node, at)
	if len(witnesses) == 0 {
		s.lost = true
		return []Cmd{LostCmd{Node: node, Epoch: s.epoch}}
	}
	var cmds []Cmd
	for _, by := range witnesses {
		s.reports[by] = true
		cmds = append(cmds, AskCmd{Node: node, Epoch: s.epoch, By: by})
	}
	return cmds
}

// witnesses prefers members in other data centres than the suspect's.
func (m Model) witnesses(node string, at time.Duration) []string {
	var near, far []string
	for _, by := range slices.Sorted(maps.Keys(m.members)) {
		w := m.members[by]
		if by == node || w.lost || at >= w.heard+m.cfg.Silence {
			continue
		}
		if w.center == m.members[node].center {
			near = append(near, by)
			continue
		}
		far = append(far, by)
	}
	far = append(far, near...)
	return far[:min(len(far), _witnesses)]
}

func (m Model) report(msg ReportMsg) []Cmd {
	s := m.members[msg.Node]
	if s == nil || s.lost || s.epoch != msg.Epoch || !s.reports[msg.By] {
		return nil
	}
	if msg.Reached {
		s.reports = nil
		s.heard = msg.At
		return nil
	}
	delete(s.reports, msg.By)
	if len(s.reports) > 0 {
		return nil
	}
	s.lost = true
	return []Cmd{LostCmd{Node: msg.Node, Epoch: msg.Epoch}}
}
