package claim

import (
	"container/heap"
	"time"
	"unicode/utf8"
)

// Outcome is how a request ended, as reported by the holder of its claim.
type Outcome string

const (
	// Ran means that the request ran and a response was received.
	Ran Outcome = "ran"
	// NotRun means that the request provably did not run and never will.
	NotRun Outcome = "notrun"
	// Unclear means that the request may have run.
	Unclear Outcome = "unclear"
)

// State is the state of a key.
type State string

const (
	// Free means that the key is available.
	Free State = "free"
	// Running means that a holder has claimed the key and its request may run.
	Running State = "running"
	// Done means that the request ran and its response is stored.
	Done State = "done"
	// Unknown means that the request may have run. It must not run again.
	Unknown State = "unknown"
)

// Answer is a stored response.
type Answer struct {
	Status int      `json:"status,omitempty"`
	Header []Header `json:"header,omitempty"`
	Body   []byte   `json:"body,omitempty"`
}

// Header is one response header. A value that is not UTF-8 is in Bytes, as encoded text has
// to be UTF-8 and header values need not.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Bytes []byte `json:"bytes,omitempty"`
}

// NewHeader returns a header with any value.
func NewHeader(name, value string) Header {
	if !utf8.ValidString(value) {
		return Header{Name: name, Bytes: []byte(value)}
	}
	return Header{Name: name, Value: value}
}

// Text returns the value of the header.
func (h Header) Text() string {
	if len(h.Bytes) > 0 {
		return string(h.Bytes)
	}
	return h.Value
}

// Config sets how long settled keys are retained, measured on the clock of the
// replicated log.
type Config struct {
	Retention time.Duration
}

// Record is the stored state of one key.
type Record struct {
	Digest uint64        `json:"digest"`
	Holder string        `json:"holder"`
	State  State         `json:"state"`
	Until  time.Duration `json:"until"`
	Answer Answer        `json:"answer"`
}

// Model is a set of claims. It is not safe for concurrent use.
type Model struct {
	cfg     Config
	records table
	expiry  expiryHeap
}

// New returns an empty set of claims.
func New(cfg Config) Model {
	return Model{cfg: cfg, records: newTable()}
}

// Restore returns a set of claims with the given records.
func Restore(cfg Config, records map[string]Record) Model {
	m := New(cfg)
	for key, r := range records {
		m.put(key, r)
	}
	return m
}

// Records returns a copy of the records.
func (m Model) Records() map[string]Record {
	return m.records.all()
}

// Update handles one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case AcquireMsg:
		return m.acquire(msg)
	case SettleMsg:
		return m.settle(msg)
	case ClockMsg:
		return m.expire(msg.At), nil
	case BeginSnapshotMsg:
		return m.beginSnapshot()
	case EndSnapshotMsg:
		m.records.endSnapshot()
		return m, nil
	}
	return m, nil
}

// acquire grants a key that has no record. It grants it again to a holder that
// repeats its claim while running.
func (m Model) acquire(msg AcquireMsg) (Model, []Cmd) {
	m = m.expire(msg.At)
	r, found := m.records.get(msg.Key)
	if !found {
		m.put(msg.Key, Record{
			Digest: msg.Digest,
			Holder: msg.Holder,
			State:  Running,
			Until:  msg.At + msg.TTL,
		})
		return m, []Cmd{GrantedCmd{Key: msg.Key}}
	}
	if r.Digest != msg.Digest {
		return m, []Cmd{KeyMismatchCmd{Key: msg.Key}}
	}
	if r.Holder == msg.Holder && r.State == Running {
		return m, []Cmd{GrantedCmd{Key: msg.Key}}
	}
	return m, []Cmd{HeldCmd{Key: msg.Key, State: r.State, Answer: r.Answer}}
}

// settle accepts a report from the holder even after its claim has expired,
// because its knowledge of whether the request ran remains valid.
func (m Model) settle(msg SettleMsg) (Model, []Cmd) {
	r, ok := m.records.get(msg.Key)
	if !ok || r.Holder != msg.Holder {
		return m, []Cmd{SettledCmd{Key: msg.Key, State: Free}}
	}
	if r.State == Done {
		return m, []Cmd{SettledCmd{Key: msg.Key, State: Done}}
	}
	if msg.Outcome == NotRun {
		m.records.remove(msg.Key)
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

// expire marks running claims that have expired as unknown, and deletes other
// records at the end of their retention. An entry of the heap whose record has
// a new expiry time is skipped.
func (m Model) expire(at time.Duration) Model {
	for len(m.expiry) > 0 && m.expiry[0].until <= at {
		e := heap.Pop(&m.expiry).(expiry)
		r, ok := m.records.get(e.key)
		if !ok || r.Until != e.until {
			continue
		}
		if r.State != Running {
			m.records.remove(e.key)
			continue
		}
		r.State = Unknown
		r.Until = e.until + m.cfg.Retention
		m.put(e.key, r)
	}
	return m
}

// beginSnapshot returns the current records, which do not change until an
// EndSnapshotMsg.
func (m Model) beginSnapshot() (Model, []Cmd) {
	if m.records.frozen {
		return m, nil
	}
	return m, []Cmd{SnapshotCmd{Records: m.records.beginSnapshot()}}
}

func (m *Model) put(key string, r Record) {
	m.records.put(key, r)
	heap.Push(&m.expiry, expiry{key: key, until: r.Until})
}
