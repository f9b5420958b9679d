package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// _scoreToBan is how many more crashes than completions ban a request.
	_scoreToBan = 2
	// _maxScore bounds how many completions it takes to end a ban.
	_maxScore = 4
	// _maxLives is the number of crashes of a suspect that are recognised when they are
	// reported again.
	_maxLives = 8

	_defaultCrashWindow = 10 * time.Minute
	// _defaultEvidence is longer than most requests run, so that those that were in
	// flight elsewhere at the crashes have completed.
	_defaultEvidence = 3 * time.Second
	// _defaultLookback is how long before its first crash a completed run counts.
	_defaultLookback = 10 * time.Second
	// _defaultTrial is the time from the end of the evidence to the first trial. It grows
	// by _trialBackoff with each trial that ends in a crash.
	_defaultTrial = 5 * time.Second
	_trialBackoff = 5
)

// Msg is a message to the model; At is the log time.
type Msg interface{ poisonMsg() }

// CrashMsg reports that an instance crashed, with the fingerprints of the requests
// in flight that RecentSuccesses does not rule out. Life identifies the instance and its
// start, so that a crash that is reported twice counts once.
type CrashMsg struct {
	Life         string
	Fingerprints []uint64
	At           time.Duration
}

// CompletedMsg reports that a request with a banned fingerprint completed.
type CompletedMsg struct {
	Fingerprint uint64
	At          time.Duration
}

// TrialMsg asks to serve one request with a banned fingerprint.
type TrialMsg struct {
	Fingerprint uint64
	At          time.Duration
}

// ClockMsg drops expired suspects and bans.
type ClockMsg struct{ At time.Duration }

func (CrashMsg) poisonMsg()     {}
func (CompletedMsg) poisonMsg() {}
func (TrialMsg) poisonMsg()     {}
func (ClockMsg) poisonMsg()     {}

// Cmd is a decision of the model.
type Cmd interface{ poisonCmd() }

// BanCmd bans a fingerprint, or replaces its ban.
type BanCmd struct {
	Fingerprint uint64
	Ban         Ban
}

// UnbanCmd ends the ban of a fingerprint.
type UnbanCmd struct{ Fingerprint uint64 }

// TrialCmd allows the trial that was asked for.
type TrialCmd struct{ Fingerprint uint64 }

func (BanCmd) poisonCmd()   {}
func (UnbanCmd) poisonCmd() {}
func (TrialCmd) poisonCmd() {}

// Config sets the times; zero values take the defaults.
type Config struct {
	// CrashWindow is how long after its latest crash a fingerprint is suspected or banned.
	CrashWindow time.Duration
	// Evidence is how long requests are deferred before they are refused.
	Evidence time.Duration
	// Lookback is how long before the first crash a completed run counts.
	Lookback time.Duration
	// Trial is the time from the end of the evidence to the first trial.
	Trial time.Duration
}

// Suspect records the crashes that a fingerprint was involved in.
type Suspect struct {
	Lives  []string      `json:"lives"` // the latest crashes
	Score  int           `json:"score"` // crashes less completions
	First  time.Duration `json:"first"` // time of the first crash
	Until  time.Duration `json:"until"` // the suspicion ends
	Banned bool          `json:"banned,omitempty"`
	// TrialAt is when the next trial may be made; Pause is the time between two trials.
	TrialAt time.Duration `json:"trial,omitempty"`
	Pause   time.Duration `json:"pause,omitempty"`
	Tried   bool          `json:"tried,omitempty"` // a trial was made
}

// Model counts crashes and completions by fingerprint. It is not safe for concurrent use.
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
	setDefault(&cfg.CrashWindow, _defaultCrashWindow)
	setDefault(&cfg.Evidence, _defaultEvidence)
	setDefault(&cfg.Lookback, _defaultLookback)
	setDefault(&cfg.Trial, _defaultTrial)
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
	case CompletedMsg:
		return m, m.complete(msg)
	case TrialMsg:
		return m, m.try(msg)
	case ClockMsg:
		return m, m.expire(msg.At)
	}
	return m, nil
}

func (m Model) crash(msg CrashMsg) []Cmd {
	var cmds []Cmd
	for _, fingerprint := range msg.Fingerprints {
		s, known := m.suspects[fingerprint]
		if slices.Contains(s.Lives, msg.Life) {
			continue
		}
		if !known {
			s.First = msg.At
		}
		s.Lives = append(slices.Clone(s.Lives), msg.Life)
		s.Lives = s.Lives[max(0, len(s.Lives)-_maxLives):]
		s.Score = min(s.Score+1, _maxScore)
		s.Until = msg.At + m.cfg.CrashWindow
		switch {
		case !s.Banned && s.Score >= _scoreToBan:
			s.Banned = true
			s.Pause = max(s.Pause, m.cfg.Trial)
			s.TrialAt = msg.At + m.cfg.Evidence + s.Pause
			cmds = append(cmds, m.ban(fingerprint, s, msg.At, m.cfg.Evidence))
		case s.Banned && s.Tried:
			s.Pause *= _trialBackoff
			s.TrialAt = msg.At + s.Pause
			s.Tried = false
			cmds = append(cmds, m.ban(fingerprint, s, msg.At, 0))
		}
		m.suspects[fingerprint] = s
	}
	return cmds
}

// complete counts a completed run. The ban ends when too little speaks for it.
func (m Model) complete(msg CompletedMsg) []Cmd {
	s, ok := m.suspects[msg.Fingerprint]
	if !ok {
		return nil
	}
	s.Score--
	s.TrialAt = min(s.TrialAt, msg.At)
	released := s.Banned && s.Score < _scoreToBan
	s.Banned = s.Banned && !released
	s.Tried = s.Tried && !released
	m.suspects[msg.Fingerprint] = s
	if s.Score <= 0 {
		delete(m.suspects, msg.Fingerprint)
	}
	if !released {
		return nil
	}
	return []Cmd{UnbanCmd{Fingerprint: msg.Fingerprint}}
}

// try allows a trial if one is due, and defers the next one.
func (m Model) try(msg TrialMsg) []Cmd {
	s, ok := m.suspects[msg.Fingerprint]
	switch {
	case !ok || !s.Banned:
		return []Cmd{TrialCmd{Fingerprint: msg.Fingerprint}}
	case msg.At < s.TrialAt:
		return nil
	}
	s.Tried = true
	s.TrialAt = msg.At + s.Pause
	m.suspects[msg.Fingerprint] = s
	return []Cmd{TrialCmd{Fingerprint: msg.Fingerprint}, m.ban(msg.Fingerprint, s, msg.At, 0)}
}

// ban returns the command that bans a suspect.
func (m Model) ban(fingerprint uint64, s Suspect, at, evidence time.Duration) BanCmd {
	return BanCmd{Fingerprint: fingerprint, Ban: Ban{
		Evidence: evidence,
		Trial:    s.TrialAt - at,
		End:      s.Until - at,
		Lookback: at - s.First + m.cfg.Lookback,
	}}
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

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
