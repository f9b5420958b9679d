package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	_crashes     = 2
	_defaultSpan = 10 * time.Minute
	_defaultBan  = 10 * time.Minute
)

// Msg is a message to the model; At is the log time.
type Msg interface{ poisonMsg() }

// CrashMsg says that an instance crashed with requests in flight.
type CrashMsg struct {
	Instance string
	Prints   []uint64
	At       time.Duration
}

// ClockMsg forgets old crashes and ends bans.
type ClockMsg struct{ At time.Duration }

func (CrashMsg) poisonMsg() {}
func (ClockMsg) poisonMsg() {}

// Cmd is what the model decided.
type Cmd interface{ poisonCmd() }

// BanCmd says that the fingerprint is refused everywhere.
type BanCmd struct{ Print uint64 }

// LiftCmd says that the fingerprint may run again.
type LiftCmd struct{ Print uint64 }

func (BanCmd) poisonCmd()  {}
func (LiftCmd) poisonCmd() {}

// Config sets the times; zero values take the defaults.
type Config struct {
	// Span is how long a crash counts.
	Span time.Duration
	// Ban is how long a fingerprint is refused.
	Ban time.Duration
}

// Suspect is what is known of one fingerprint.
type Suspect struct {
	Instances []string      `json:"instances"`
	Until     time.Duration `json:"until"`
	Banned    bool          `json:"banned,omitempty"`
}

// Model counts crashes; one loop owns it.
type Model struct {
	cfg      Config
	suspects map[uint64]Suspect
}

// New returns a model without suspects.
func New(cfg Config) Model {
	return Restore(cfg, nil)
}

// Restore returns the model that the suspects belong to.
func Restore(cfg Config, suspects map[uint64]Suspect) Model {
	if cfg.Span == 0 {
		cfg.Span = _defaultSpan
	}
	if cfg.Ban == 0 {
		cfg.Ban = _defaultBan
	}
	if suspects == nil {
		suspects = map[uint64]Suspect{}
	}
	return Model{cfg: cfg, suspects: suspects}
}

// Suspects returns what is known; the caller must not change it.
func (m Model) Suspects() map[uint64]Suspect {
	return m.suspects
}

// Update folds one message in and returns what follows from it.
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
	for _, mark := range msg.Prints {
		s := m.suspects[mark]
		if s.Banned || slices.Contains(s.Instances, msg.Instance) {
			continue
		}
		s.Instances = append(slices.Clone(s.Instances), msg.Instance)
		s.Until = msg.At + m.cfg.Span
		if len(s.Instances) >= _crashes {
			s.Banned = true
			s.Until = msg.At + m.cfg.Ban
			cmds = append(cmds, BanCmd{Print: mark})
		}
		m.suspects[mark] = s
	}
	return cmds
}

func (m Model) expire(at time.Duration) []Cmd {
	var cmds []Cmd
	for _, mark := range slices.Sorted(maps.Keys(m.suspects)) {
		s := m.suspects[mark]
		if s.Until > at {
			continue
		}
		delete(m.suspects, mark)
		if s.Banned {
			cmds = append(cmds, LiftCmd{Print: mark})
		}
	}
	return cmds
}
