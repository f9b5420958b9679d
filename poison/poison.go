package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	_crashesToBan       = 2
	_defaultCrashWindow = 10 * time.Minute
	_defaultBanDuration = 10 * time.Minute
)

// Msg is a message to the model; At is the log time.
type Msg interface{ poisonMsg() }

// CrashMsg reports that an instance crashed, with the fingerprints of the requests
// in flight that RecentSuccesses does not rule out.
type CrashMsg struct {
	Instance     string
	Fingerprints []uint64
	At           time.Duration
}

// ClockMsg drops expired crashes and bans.
type ClockMsg struct{ At time.Duration }

func (CrashMsg) poisonMsg() {}
func (ClockMsg) poisonMsg() {}

// Cmd is a decision of the model.
type Cmd interface{ poisonCmd() }

// BanCmd bans a fingerprint: requests with it are refused everywhere.
type BanCmd struct{ Fingerprint uint64 }

// UnbanCmd ends the ban of a fingerprint.
type UnbanCmd struct{ Fingerprint uint64 }

func (BanCmd) poisonCmd()   {}
func (UnbanCmd) poisonCmd() {}

// Config sets the times; zero values take the defaults.
type Config struct {
	// CrashWindow is how long after its latest crash a fingerprint is suspected.
	CrashWindow time.Duration
	// BanDuration is how long a fingerprint is refused.
	BanDuration time.Duration
}

// Suspect records the crashes that a fingerprint was involved in.
type Suspect struct {
	Instances []string      `json:"instances"`
	Until     time.Duration `json:"until"`
	Banned    bool          `json:"banned,omitempty"`
}

// Model counts crashes by fingerprint. It is not safe for concurrent use.
type Model struct {
	cfg      Config
	suspects map[uint64]Suspect
}

// New returns a model without suspects.
func New(cfg Config) Model {
	return Restore(cfg, nil)
}

// Restore returns a model with the given suspects.
func Restore(cfg Config, suspects map[uint64]Suspect) Model {
	if cfg.CrashWindow == 0 {
		cfg.CrashWindow = _defaultCrashWindow
	}
	if cfg.BanDuration == 0 {
		cfg.BanDuration = _defaultBanDuration
	}
	if suspects == nil {
		suspects = map[uint64]Suspect{}
	}
	return Model{cfg: cfg, suspects: suspects}
}

// Suspects returns the suspects; the caller must not modify the map.
func (m Model) Suspects() map[uint64]Suspect {
	return m.suspects
}

// Update applies one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case CrashMsg:
		return m, m.crash(msg)
	case ClockMsg:
		return m, m.expire(msg.At)
	}
	return m, nil
}

func (m Model) crash(msg CrashMsg) []Cmd {
	var cmds []Cmd
	for _, fingerprint := range msg.Fingerprints {
		s := m.suspects[fingerprint]
		if s.Banned || slices.Contains(s.Instances, msg.Instance) {
			continue
		}
		s.Instances = append(slices.Clone(s.Instances), msg.Instance)
		s.Until = msg.At + m.cfg.CrashWindow
		if len(s.Instances) >= _crashesToBan {
			s.Banned = true
			s.Until = msg.At + m.cfg.BanDuration
			cmds = append(cmds, BanCmd{Fingerprint: fingerprint})
		}
		m.suspects[fingerprint] = s
	}
	return cmds
}

func (m Model) expire(at time.Duration) []Cmd {
	var cmds []Cmd
	for _, fingerprint := range slices.Sorted(maps.Keys(m.suspects)) {
		s := m.suspects[fingerprint]
		if s.Until > at {
			continue
		}
		delete(m.suspects, fingerprint)
		if s.Banned {
			cmds = append(cmds, UnbanCmd{Fingerprint: fingerprint})
		}
	}
	return cmds
}
