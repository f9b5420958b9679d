package floor

import (
	"maps"
	"slices"
	"time"
)

const (
	_series      = 10 * time.Second
	_mostDivisor = 2
)

// Reason says why an ejection was refused.
type Reason string

const (
	// AtFloor means that one instance fewer would break the floor.
	AtFloor Reason = "floor"
	// Unconfirmed means that the arbiter waits a moment, to see whether most
	// instances look unwell at once; ask again.
	Unconfirmed Reason = "unconfirmed"
	// Shared means that most instances look unwell: the cause is not theirs.
	Shared Reason = "shared"
	// NoInstance means that the arbiter does not know the instance.
	NoInstance Reason = "instance"
)

// Standing is what the arbiter knows of one instance; times are log times.
type Standing struct {
	Warm    time.Duration `json:"warm,omitempty"`
	Leaving bool          `json:"leaving,omitempty"`
	Lost    bool          `json:"lost,omitempty"`
	Until   time.Duration `json:"until,omitempty"`
	// Since and Asked are the first and the last question of a series.
	Since time.Duration `json:"since,omitempty"`
	Asked time.Duration `json:"asked,omitempty"`
}

// Model is the arbiter of one service; one loop owns it.
type Model struct {
	Floor int                 `json:"floor"`
	Known map[string]Standing `json:"known"`
}

// New returns an arbiter that keeps the given number of instances healthy.
func New(n int) Model {
	return Model{Floor: n, Known: map[string]Standing{}}
}

// Healthy returns the number of instances that count towards the floor.
func (m Model) Healthy(at time.Duration) int {
	n := 0
	for _, s := range m.Known {
		if s.healthy(at) {
			n++
		}
	}
	return n
}

// Ejected returns the instances whose ejection holds, by name.
func (m Model) Ejected() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(m.Known)) {
		if m.Known[id].Until > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Update folds one message in and returns what follows from it.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case LimitMsg:
		m.Floor = msg.Floor
		return m, nil
	case JoinMsg:
		return m.join(msg), nil
	case LeaveMsg:
		return m.change(msg.ID, func(s *Standing) { s.Leaving = true }), nil
	case ReachMsg:
		return m.change(msg.ID, func(s *Standing) { s.Lost = msg.Lost }), nil
	case GoneMsg:
		delete(m.Known, msg.ID)
		return m, nil
	case EjectMsg:
		return m.eject(msg)
	case RestoreMsg:
		return m.restore(msg.ID)
	case ClockMsg:
		return m.expire(msg.At)
	}
	return m, nil
}

func (m Model) join(msg JoinMsg) Model {
	s := m.Known[msg.ID]
	s.Leaving = false
	s.Lost = false
	s.Warm = msg.Warm
	m.Known[msg.ID] = s
	return m
}

func (m Model) change(id string, edit func(*Standing)) Model {
	s, ok := m.Known[id]
	if !ok {
		return m
	}
	edit(&s)
	m.Known[id] = s
	return m
}

func (m Model) eject(msg EjectMsg) (Model, []Cmd) {
	s, ok := m.Known[msg.ID]
	if !ok {
		return m, []Cmd{RefusedCmd{ID: msg.ID, Reason: NoInstance}}
	}
	left := m.Healthy(msg.At)
	if s.healthy(msg.At) {
		left--
	}
	renewed := s.Until > 0
	s = s.ask(msg.At)
	m.Known[msg.ID] = s
	if reason := m.refuses(s, msg, left); reason != "" {
		return m, []Cmd{RefusedCmd{ID: msg.ID, Reason: reason}}
	}
	s.Until = msg.At + msg.TTL
	m.Known[msg.ID] = s
	return m, []Cmd{GrantedCmd{ID: msg.ID, Renewed: renewed, Left: left}}
}

// refuses returns why the arbiter does not grant the ejection yet, or at all.
func (m Model) refuses(s Standing, msg EjectMsg, left int) Reason {
	asking := 0
	for _, other := range m.Known {
		if other.asks(msg.At) {
			asking++
		}
	}
	switch {
	case s.Until > 0 && left >= m.Floor:
		// A renewal needs no confirmation.
		return ""
	case asking > 1 && asking > len(m.Known)/_mostDivisor:
		return Shared
	case left < m.Floor:
		return AtFloor
	case msg.At < s.Since+msg.Confirm:
		return Unconfirmed
	}
	return ""
}

func (m Model) restore(id string) (Model, []Cmd) {
	s, ok := m.Known[id]
	if !ok || s.Until == 0 {
		return m, nil
	}
	s.Until = 0
	s.Asked = 0
	m.Known[id] = s
	return m, []Cmd{RestoredCmd{ID: id}}
}

func (m Model) expire(at time.Duration) (Model, []Cmd) {
	var cmds []Cmd
	for _, id := range m.Ejected() {
		if m.Known[id].Until > at {
			continue
		}
		var more []Cmd
		m, more = m.restore(id)
		cmds = append(cmds, more...)
	}
	return m, cmds
}

// ask returns the standing after one more question.
func (s Standing) ask(at time.Duration) Standing {
	if !s.asks(at) {
		s.Since = at
	}
	s.Asked = at
	return s
}

// asks reports whether the instance's owner lately asked for its ejection.
func (s Standing) asks(at time.Duration) bool {
	return s.Asked > 0 && at < s.Asked+_series
}

func (s Standing) healthy(at time.Duration) bool {
	return !s.Leaving && !s.Lost && s.Until == 0 && s.Warm <= at
}
