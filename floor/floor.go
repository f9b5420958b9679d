package floor

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	_requestWindow      = 10 * time.Second
	_sharedCauseDivisor = 2
)

// Reason says why an ejection was refused.
type Reason string

const (
	// AtFloor means that one healthy instance fewer would violate the floor.
	AtFloor Reason = "floor"
	// Unconfirmed means that the request has not stood long enough to tell whether
	// most instances are unhealthy at once; it should be repeated.
	Unconfirmed Reason = "unconfirmed"
	// SharedCause means that most instances look unhealthy at once, so that the cause
	// is outside them.
	SharedCause Reason = "shared"
	// NoInstance means that the arbiter has no such instance.
	NoInstance Reason = "instance"
)

// InstanceState is the arbiter's state of one instance; times are log times.
type InstanceState struct {
	WarmAt       time.Duration `json:"warm,omitempty"`
	Leaving      bool          `json:"leaving,omitempty"`
	Unreachable  bool          `json:"lost,omitempty"`
	EjectedUntil time.Duration `json:"until,omitempty"`
	// FirstRequest and LastRequest are the first and the last ejection request of a
	// series.
	FirstRequest time.Duration `json:"since,omitempty"`
	LastRequest  time.Duration `json:"asked,omitempty"`
}

// Model is the arbiter of one service. It is not safe for concurrent use.
type Model struct {
	Floor     int                      `json:"floor"`
	Share     float64                  `json:"share,omitempty"`
	Instances map[string]InstanceState `json:"known"`
}

// New returns an arbiter that keeps the given number of instances healthy.
func New(n int) Model {
	return Model{Floor: n, Instances: map[string]InstanceState{}}
}

// Healthy returns the number of instances that count towards the floor.
func (m Model) Healthy(at time.Duration) int {
	n := 0
	for _, s := range m.Instances {
		if s.healthy(at) {
			n++
		}
	}
	return n
}

// Minimum returns how many instances must stay healthy after an ejection.
func (m Model) Minimum() int {
	return max(m.Floor, int(math.Ceil(m.Share*float64(len(m.Instances)))))
}

// Ejected returns the ejected instances, sorted by name.
func (m Model) Ejected() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(m.Instances)) {
		if m.Instances[id].EjectedUntil > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Update applies one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case SetFloorMsg:
		m.Floor, m.Share = msg.Floor, msg.Share
		return m.endEjections(msg.At)
	case JoinMsg:
		return m.join(msg), nil
	case LeaveMsg:
		return m.edit(msg.ID, func(s *InstanceState) { s.Leaving = true }).endEjections(msg.At)
	case ReachabilityMsg:
		return m.edit(msg.ID, func(s *InstanceState) { s.Unreachable = msg.Unreachable }).endEjections(msg.At)
	case RemoveMsg:
		delete(m.Instances, msg.ID)
		return m.endEjections(msg.At)
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
	s := m.Instances[msg.ID]
	s.Leaving = false
	s.Unreachable = false
	s.WarmAt = msg.WarmAt
	m.Instances[msg.ID] = s
	return m
}

func (m Model) edit(id string, change func(*InstanceState)) Model {
	s, ok := m.Instances[id]
	if !ok {
		return m
	}
	change(&s)
	m.Instances[id] = s
	return m
}

func (m Model) eject(msg EjectMsg) (Model, []Cmd) {
	s, ok := m.Instances[msg.ID]
	if !ok {
		return m, []Cmd{RefusedCmd{ID: msg.ID, Reason: NoInstance}}
	}
	remaining := m.Healthy(msg.At)
	if s.healthy(msg.At) {
		remaining--
	}
	renewed := s.EjectedUntil > 0
	s = s.request(msg.At)
	m.Instances[msg.ID] = s
	if reason := m.refusal(s, msg, remaining); reason != "" {
		return m, []Cmd{RefusedCmd{ID: msg.ID, Reason: reason}}
	}
	s.EjectedUntil = msg.At + msg.TTL
	m.Instances[msg.ID] = s
	return m, []Cmd{GrantedCmd{ID: msg.ID, Renewed: renewed, Remaining: remaining}}
}

// refusal returns why the arbiter does not grant the ejection, or the empty string;
// remaining is the number of healthy instances left.
func (m Model) refusal(s InstanceState, msg EjectMsg, remaining int) Reason {
	requesting := 0
	for _, other := range m.Instances {
		if other.requested(msg.At) {
			requesting++
		}
	}
	switch {
	case s.EjectedUntil > 0 && remaining >= m.Minimum():
		// A renewal needs no confirmation.
		return ""
	case requesting > 1 && requesting > len(m.Instances)/_sharedCauseDivisor:
		return SharedCause
	case remaining < m.Minimum():
		return AtFloor
	case msg.At < s.FirstRequest+msg.Confirm:
		return Unconfirmed
	}
	return ""
}

func (m Model) restore(id string) (Model, []Cmd) {
	s, ok := m.Instances[id]
	if !ok || s.EjectedUntil == 0 {
		return m, nil
	}
	s.EjectedUntil = 0
	s.LastRequest = 0
	m.Instances[id] = s
	return m, []Cmd{RestoredCmd{ID: id}}
}

func (m Model) expire(at time.Duration) (Model, []Cmd) {
	var cmds []Cmd
	for _, id := range m.Ejected() {
		if m.Instances[id].EjectedUntil > at {
			continue
		}
		var more []Cmd
		m, more = m.restore(id)
		cmds = append(cmds, more...)
	}
	return m, cmds
}

// endEjections ends ejections, those that would expire first before others, until
// enough instances are healthy. Instances that could not work anyway stay ejected.
func (m Model) endEjections(at time.Duration) (Model, []Cmd) {
	var cmds []Cmd
	// A cold instance does not count as healthy yet when its ejection ends.
	for m.Healthy(at) < m.Minimum() {
		id, ok := m.nextToRestore()
		if !ok {
			break
		}
		var restored []Cmd
		m, restored = m.restore(id)
		cmds = append(cmds, restored...)
	}
	return m, cmds
}

// nextToRestore returns the ejected instance whose ejection expires first among those
// that could work, or false if there is none.
func (m Model) nextToRestore() (string, bool) {
	next, found := "", false
	for _, id := range m.Ejected() {
		s := m.Instances[id]
		if s.Leaving || s.Unreachable {
			continue
		}
		if !found || s.EjectedUntil < m.Instances[next].EjectedUntil {
			next, found = id, true
		}
	}
	return next, found
}

// request records an ejection request.
func (s InstanceState) request(at time.Duration) InstanceState {
	if !s.requested(at) {
		s.FirstRequest = at
	}
	s.LastRequest = at
	return s
}

// requested reports whether the instance's owner recently requested its ejection.
func (s InstanceState) requested(at time.Duration) bool {
	return s.LastRequest > 0 && at < s.LastRequest+_requestWindow
}

func (s InstanceState) healthy(at time.Duration) bool {
	return !s.Leaving && !s.Unreachable && s.EjectedUntil == 0 && s.WarmAt <= at
}
