package claim

import (
	"container/heap"
	"time"
)

// Outcome is what a holder knows of its request.
type Outcome string

const (
	// Ran means that the request ran and was answered.
	Ran Outcome = "ran"
	// NotRun means that the request is proven never to run.
	NotRun Outcome = "notrun"
	// Unclear means that the request may have run.
	Unclear Outcome = "unclear"
)

// State is what the claims know of a key.
type State string

const (
	// Free means that the key may be claimed.
	Free State = "free"
	// Running means that a holder runs the request.
	Running State = "running"
	// Done means that the request ran and its answer is kept.
	Done State = "done"
	// Unknown means that the request may have run; it never runs again.
	Unknown State = "unknown"
)

// Answer is a kept response.
type Answer struct {
	Status int      `json:"status,omitempty"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
}

// Header is one response header.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Config sets how long keys are kept, in log time.
type Config struct {
	Retention time.Duration
}

// Record is what is kept of one key.
type Record struct {
	Digest uint64        `json:"digest"`
	Holder string        `json:"holder"`
	State  State         `json:"state"`
	Until  time.Duration `json:"until"`
	Answer Answer        `json:"answer"`
}

// Model is a set of claims; one loop owns it.
type Model struct {
	cfg     Config
	records table
	due     dueHeap
}

// New returns an empty set of claims.
func New(cfg Config) Model {
	return Model{cfg: cfg, records: newTable()}
}

// Restore returns the set of claims that the records hold.
func Restore(cfg Config, records map[string]Record) Model {
	m := New(cfg)
	for key, r := range records {
		m.put(key, r)
	}
	return m
}

// Records returns a copy of what is kept.
func (m Model) Records() map[string]Record {
	return m.records.all()
}

// Update folds one message in and returns what follows from it.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case TakeMsg:
		return m.take(msg)
	case SettleMsg:
		return m.settle(msg)
	case ClockMsg:
		return m.expire(msg.At), nil
	case FreezeMsg:
		return m.freeze()
	case ThawMsg:
		m.records.thaw()
		return m, nil
	}
	return m, nil
}

func (m Model) take(msg TakeMsg) (Model, []Cmd) {
	m = m.expire(msg.At)
	r, taken := m.records.get(msg.Key)
	if !taken {
		m.put(msg.Key, Record{
			Digest: msg.Digest,
			Holder: msg.Holder,
			State:  Running,
			Until:  msg.At + msg.TTL,
		})
		return m, []Cmd{GrantedCmd{Key: msg.Key}}
	}
	if r.Digest != msg.Digest {
		return m, []Cmd{MismatchCmd{Key: msg.Key}}
	}
	if r.Holder == msg.Holder && r.State == Running {
		return m, []Cmd{GrantedCmd{Key: msg.Key}}
	}
	return m, []Cmd{HeldCmd{Key: msg.Key, State: r.State, Answer: r.Answer}}
}

// settle takes a holder's word also after its claim ran out: a proof stays one.
func (m Model) settle(msg SettleMsg) (Model, []Cmd) {
	r, ok := m.records.get(msg.Key)
	if !ok || r.Holder != msg.Holder {
		return m, []Cmd{SettledCmd{Key: msg.Key, State: Free}}
	}
	if r.State == Done {
		return m, []Cmd{SettledCmd{Key: msg.Key, State: Done}}
	}
	if msg.Outcome == NotRun {
		m.records.drop(msg.Key)
		return m, []Cmd{SettledCmd{Key: msg.Key, State: Free}}
	}
	r.State = Unknown
	if msg.Outcome == Ran {
		r.State = Done
		r.Answer = msg.Answer
	}
	r.Until = msg.At + m.cfg.Retention
	m.put(msg.Key, r)
	return m, []Cmd{SettledCmd{Key: msg.Key, State: r.State}}
}

func (m Model) expire(at time.Duration) Model {
	for len(m.due) > 0 && m.due[0].until <= at {
		d := heap.Pop(&m.due).(due)
		r, ok := m.records.get(d.key)
		if !ok || r.Until != d.until {
			continue
		}
		if r.State != Running {
			m.records.drop(d.key)
			continue
		}
		r.State = Unknown
		r.Until = d.until + m.cfg.Retention
		m.put(d.key, r)
	}
	return m
}

// freeze hands out the records as they are now; they stand still until a thaw.
func (m Model) freeze() (Model, []Cmd) {
	if m.records.frozen {
		return m, nil
	}
	return m, []Cmd{FrozenCmd{Records: m.records.freeze()}}
}

func (m *Model) put(key string, r Record) {
	m.records.put(key, r)
	heap.Push(&m.due, due{key: key, until: r.Until})
}
