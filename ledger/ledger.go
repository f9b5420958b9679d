package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const _defaultRetention = 20 * time.Second

// State is the recorded state of an attempt.
type State string

const (
	// Absent means that the attempt is new and may be opened.
	Absent State = "absent"
	// Waiting means that the attempt was accepted and has not started.
	Waiting State = "waiting"
	// Running means that the attempt has started.
	Running State = "running"
	// Finished means that the attempt has started and ended.
	Finished State = "finished"
	// Canceled means that the attempt did not start and never will.
	Canceled State = "dead"
	// Forgotten means that the record has expired; the attempt never starts.
	Forgotten State = "forgotten"
)

// Ref identifies an attempt by its ingress node, the epoch of that node's process
// and a sequence number.
type Ref struct {
	Node  string `json:"node"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// String returns the reference as NODE.EPOCH.SEQ.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d", r.Node, r.Epoch, r.Seq)
}

// Config sets how long the ledger keeps records of ended attempts; zero takes the
// default.
type Config struct {
	Retention time.Duration
}

// Ledger records the attempts received by one process; one loop owns it.
type Ledger struct {
	cfg       Config
	ingresses map[string]*ingress
	ended     []endedAttempt
}

// ingress holds the sessions of one ingress. Attempts of epochs below minEpoch
// never start.
type ingress struct {
	minEpoch uint64
	maxEpoch uint64
	sessions map[uint64]*session
}

// session is one epoch of an ingress. Attempts without a record up to closedSeq
// never start.
type session struct {
	closedSeq uint64
	records   map[uint64]State
}

// endedAttempt is an attempt with the time at which it ended.
type endedAttempt struct {
	ref Ref
	at  time.Duration
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.Retention == 0 {
		cfg.Retention = _defaultRetention
	}
	return &Ledger{cfg: cfg, ingresses: map[string]*ingress{}}
}

// State returns the state of an attempt.
func (l *Ledger) State(ref Ref) State {
	i := l.ingresses[ref.Node]
	if i == nil {
		return Absent
	}
	if ref.Epoch < i.minEpoch {
		return Forgotten
	}
	s := i.sessions[ref.Epoch]
	if s == nil {
		return Absent
	}
	if state, ok := s.records[ref.Seq]; ok {
		return state
	}
	if ref.Seq <= s.closedSeq {
		return Forgotten
	}
	return Absent
}

// Open accepts an attempt that is absent and returns its previous state.
func (l *Ledger) Open(ref Ref) State {
	before := l.State(ref)
	if before == Absent {
		l.set(ref, Waiting)
	}
	return before
}

// Start marks a waiting attempt as started and reports whether it may start.
func (l *Ledger) Start(ref Ref) bool {
	if l.State(ref) != Waiting {
		return false
	}
	l.set(ref, Running)
	return true
}

// Finish marks a started attempt as ended.
func (l *Ledger) Finish(ref Ref, at time.Duration) {
	if l.State(ref) == Running {
		l.markEnded(ref, Finished, at)
	}
}

// Cancel keeps an attempt from starting, if it has not started yet, and returns its
// state.
func (l *Ledger) Cancel(ref Ref, at time.Duration) State {
	switch state := l.State(ref); state {
	case Absent, Waiting:
		l.markEnded(ref, Canceled, at)
		return Canceled
	default:
		return state
	}
}

// Forget drops the records of attempts that ended longer ago than the retention.
// Their session's closedSeq keeps them from starting.
func (l *Ledger) Forget(at time.Duration) {
	n := 0
	for n < len(l.ended) && l.ended[n].at+l.cfg.Retention <= at {
		l.drop(l.ended[n].ref)
		n++
	}
	l.ended = l.ended[n:]
}

// Len returns the number of recorded attempts.
func (l *Ledger) Len() int {
	n := 0
	for _, i := range l.ingresses {
		for _, s := range i.sessions {
			n += len(s.records)
		}
	}
	return n
}

func (l *Ledger) markEnded(ref Ref, state State, at time.Duration) {
	l.set(ref, state)
	l.ended = append(l.ended, endedAttempt{ref: ref, at: at})
}

func (l *Ledger) set(ref Ref, state State) {
	i := l.ingresses[ref.Node]
	if i == nil {
		i = &ingress{sessions: map[uint64]*session{}}
		l.ingresses[ref.Node] = i
	}
	s := i.sessions[ref.Epoch]
	if s == nil {
		s = &session{records: map[uint64]State{}}
		i.sessions[ref.Epoch] = s
		i.maxEpoch = max(i.maxEpoch, ref.Epoch)
	}
	s.records[ref.Seq] = state
}

func (l *Ledger) drop(ref Ref) {
	i := l.ingresses[ref.Node]
	s := i.sessions[ref.Epoch]
	s.closedSeq = max(s.closedSeq, ref.Seq)
	delete(s.records, ref.Seq)
	i.closeOldest()
}

// closeOldest drops the oldest sessions without records; minEpoch keeps their
// attempts from starting.
func (i *ingress) closeOldest() {
	for _, epoch := range slices.Sorted(maps.Keys(i.sessions)) {
		if epoch == i.maxEpoch || len(i.sessions[epoch].records) > 0 {
			return
		}
		delete(i.sessions, epoch)
		i.minEpoch = epoch + 1
	}
}
