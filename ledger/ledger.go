package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const _defaultRetention = 20 * time.Second

// State is what the ledger knows of an attempt.
type State string

const (
	// Absent means that the attempt is new and may be opened.
	Absent State = "absent"
	// Waiting means that the attempt was taken in and has not started.
	Waiting State = "waiting"
	// Running means that the attempt has started.
	Running State = "running"
	// Finished means that the attempt has started and ended.
	Finished State = "finished"
	// Dead means that the attempt did not start and never will.
	Dead State = "dead"
	// Forgotten means that the attempt is too old to tell; it never starts.
	Forgotten State = "forgotten"
)

// Ref names one attempt: the ingress, its start and its count.
type Ref struct {
	Node  string `json:"node"`
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"`
}

// String returns the node, the epoch and the count.
func (r Ref) String() string {
	return fmt.Sprintf("%s.%d.%d", r.Node, r.Epoch, r.Seq)
}

// Config sets how long the ledger remembers; zero takes the default.
type Config struct {
	Retention time.Duration
}

// Ledger is the record of one process's attempts; one loop owns it.
type Ledger struct {
	cfg   Config
	peers map[string]*peer
	old   []aged
}

// peer is one ingress; epochs below least are closed for good.
type peer struct {
	least    uint64
	newest   uint64
	sessions map[uint64]*session
}

// session is one start of an ingress; unknown counts up to floor never start.
type session struct {
	floor   uint64
	records map[uint64]State
}

// aged says since when an attempt has been over.
type aged struct {
	ref Ref
	at  time.Duration
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	if cfg.Retention == 0 {
		cfg.Retention = _defaultRetention
	}
	return &Ledger{cfg: cfg, peers: map[string]*peer{}}
}

// State returns what is known of an attempt.
func (l *Ledger) State(ref Ref) State {
	p := l.peers[ref.Node]
	if p == nil {
		return Absent
	}
	if ref.Epoch < p.least {
		return Forgotten
	}
	s := p.sessions[ref.Epoch]
	if s == nil {
		return Absent
	}
	if state, ok := s.records[ref.Seq]; ok {
		return state
	}
	if ref.Seq <= s.floor {
		return Forgotten
	}
	return Absent
}

// Open takes in an attempt that is absent; it reports what stood before.
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
		l.end(ref, Finished, at)
	}
}

// Kill forbids an attempt to start, if it has not, and returns its state.
func (l *Ledger) Kill(ref Ref, at time.Duration) State {
	switch state := l.State(ref); state {
	case Absent, Waiting:
		l.end(ref, Dead, at)
		return Dead
	default:
		return state
	}
}

// Forget drops what was over for longer than the retention; what it drops
// stays closed by its session's floor.
func (l *Ledger) Forget(at time.Duration) {
	n := 0
	for n < len(l.old) && l.old[n].at+l.cfg.Retention <= at {
		l.drop(l.old[n].ref)
		n++
	}
	l.old = l.old[n:]
}

// Len returns the number of attempts that are remembered.
func (l *Ledger) Len() int {
	n := 0
	for _, p := range l.peers {
		for _, s := range p.sessions {
			n += len(s.records)
		}
	}
	return n
}

func (l *Ledger) end(ref Ref, state State, at time.Duration) {
	l.set(ref, state)
	l.old = append(l.old, aged{ref: ref, at: at})
}

func (l *Ledger) set(ref Ref, state State) {
	p := l.peers[ref.Node]
	if p == nil {
		p = &peer{sessions: map[uint64]*session{}}
		l.peers[ref.Node] = p
	}
	s := p.sessions[ref.Epoch]
	if s == nil {
		s = &session{records: map[uint64]State{}}
		p.sessions[ref.Epoch] = s
		p.newest = max(p.newest, ref.Epoch)
	}
	s.records[ref.Seq] = state
}

func (l *Ledger) drop(ref Ref) {
	p := l.peers[ref.Node]
	s := p.sessions[ref.Epoch]
	s.floor = max(s.floor, ref.Seq)
	delete(s.records, ref.Seq)
	p.closeOldest()
}

// closeOldest drops the oldest sessions that are over; the bound that it
// leaves behind keeps their attempts closed.
func (p *peer) closeOldest() {
	for _, epoch := range slices.Sorted(maps.Keys(p.sessions)) {
		if epoch == p.newest || len(p.sessions[epoch].records) > 0 {
			return
		}
		delete(p.sessions, epoch)
		p.least = epoch + 1
	}
}
