package ctrl

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_tick          = 20 * time.Millisecond
	_minTickDelay  = 2 * time.Millisecond
	_inboxCapacity = 4096
	_maxBatch      = 512
	// _maxBatchBytes bounds what one turn of the loop proposes, and so its flush.
	_maxBatchBytes = 1 << 20
	// _maxUnsyncedBytes bounds the entries that wait for the disk.
	_maxUnsyncedBytes = 1 << 20
	// A log is compacted from _compactAfter entries or _compactBytes on. The bytes are what an
	// empty host reads and writes before it is a voter.
	_compactAfter = 10000
	_compactBytes = 16 << 20
)

var (
	// ErrNotLeader reports a command sent to a replica that does not lead. It had
	// no effect.
	ErrNotLeader = errors.New("not the leader")
	// ErrReplaced reports a command that was overwritten in the log by another
	// leader. It had no effect.
	ErrReplaced = errors.New("command was replaced")
	// ErrInvalidCommand reports a command that no replica could decode. It had no effect.
	ErrInvalidCommand = errors.New("command cannot be encoded")
	// ErrSuperseded reports a data folder from before a rescue of its group on
	// another host.
	ErrSuperseded = errors.New("the data folder is from before a rescue: empty it and start again")
	// ErrStopped reports that the replica stopped. The outcome of the command is
	// unknown.
	ErrStopped = errors.New("replica stopped")
)

// ReplicaConfig configures a Replica.
type ReplicaConfig struct {
	Group          uint32
	Name           string // name of the host
	Addr           string // peer address of the host
	Disk           *disk.Disk
	Send           func(to raft.Peer, envelope raft.Envelope)
	OnLeaderChange func()
	OnSkippedEntry func() // called for an entry that cannot be decoded
	Logger         *slog.Logger
	// Start is when the process started. It is shared by all replicas of the
	// process.
	Start time.Time
	Store store.Config
	Raft  raft.Config
}

// Replica runs a raft.Model and applies its committed entries to a store.Model.
type Replica struct {
	cfg ReplicaConfig
	// received holds messages from other replicas, which are handled before the requests
	// and encoded snapshots in inbox.
	received chan any
	inbox    chan any
	// written gets the result of each write to the disk.
	written chan error
	done    chan struct{}

	currentUntil atomic.Int64 // time.Duration since Start, as of the last message or tick

	mu      sync.RWMutex
	state   store.Model
	status  Status
	changed chan struct{}

	// Accessed only by the goroutine of Run.
	model         raft.Model
	pipeline      *raft.Pipeline
	handling      *delivery // the delivery that is being handled, or nil
	leaderSince   time.Time
	baseTime      time.Duration
	nextID        uint64
	waiting       map[uint64]chan<- outcome
	accepted      map[uint64]raft.AcceptedCmd
	snapshotting  bool
	appliedBytes  int // of entries since the last snapshot
	snapshotBytes int // of the last snapshot
	encoders      sync.WaitGroup
	writes        sync.WaitGroup

	writeStart     time.Time     // of the write to the disk that is under way
	learnersLogged time.Duration // when waiting learners were last logged
	unaddressed    uint64        // receiver of the last message that was dropped for want of an address
}

// Status is a replica's view of its group. Leader is 0 if unknown; LeaderPeer has its
// address, also while Peers lacks it.
type Status struct {
	Leader     uint64
	LeaderPeer raft.Peer
	Term       uint64
	Peers      []raft.Peer
}

type outcome struct {
	result store.Result
	index  uint64
	err    error
}

// command is a request to the loop to propose a store command.
type command struct {
	command any
	reply   chan<- outcome
}

// encodedSnapshot is the encoded state at an index, or the encoding error.
type encodedSnapshot struct {
	index uint64
	data  []byte
	err   error
}

// barrier is a request to the loop for the index of a linearizable read.
type barrier struct {
	reply chan<- outcome
}

// NewReplica returns a replica with the state loaded from the data folder.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	saved, err := cfg.Disk.Load(cfg.Group)
	if err != nil {
		return nil, errors.Errorf("load group %d: %w", cfg.Group, err)
	}
	cfg.Raft.Async = true
	state := store.New(cfg.Store)
	if saved.Snapshot.Index > 0 {
		state, err = store.Load(cfg.Store, saved.Snapshot.Data)
		if err != nil {
			return nil, errors.Errorf("load group %d: %w", cfg.Group, err)
		}
	}
	r := &Replica{
		cfg:      cfg,
		received: make(chan any, _inboxCapacity),
		inbox:    make(chan any, _inboxCapacity),
		written:  make(chan error, 1),
		done:     make(chan struct{}),
		state:    state,
		changed:  make(chan struct{}),
		model:    raft.New(cfg.Raft, saved),
		pipeline: raft.NewPipeline(saved),
		waiting:  map[uint64]chan<- outcome{},
		accepted: map[uint64]raft.AcceptedCmd{},
	}
	r.snapshotBytes = len(saved.Snapshot.Data)
	r.status.Peers = r.model.Peers()
	r.logStart()
	return r, nil
}

// Run runs the replica until the context is done or an error occurs.
func (r *Replica) Run(ctx context.Context) error {
	defer r.encoders.Wait()
	defer r.writes.Wait()
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var first any
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case err := <-r.written:
			if err := r.finishWrite(err); err != nil {
				return errors.Errorf("group %d: %w", r.cfg.Group, err)
			}
		case first = <-r.received:
		case first = <-r.requests():
		}
		// What has waited while the loop stood still is handled before the tick judges who
		// is silent.
		now := time.Since(r.cfg.Start)
		msgs := append([]any{raft.ClockMsg{At: now}}, r.messages(first)...)
		for _, msg := range append(msgs, raft.TickMsg{At: now}) {
			if err := r.process(msg); err != nil {
				return errors.Errorf("group %d: %w", r.cfg.Group, err)
			}
		}
		r.publishLeader()
		r.logLearners(now)
		r.logSlowTurn(now, len(msgs))
		if !r.pipeline.Applying() {
			r.currentUntil.Store(int64(r.model.CurrentUntil()))
		}
		timer.Reset(max(_minTickDelay, r.model.NextTick()-time.Since(r.cfg.Start)))
	}
}

// InTouch reports whether the replica leads or follows a leader that it hears from, and
// has applied all that this leader has committed. A loop that waits for its disk hears
// nothing, so the answer depends on the time.
func (r *Replica) InTouch() bool {
	return time.Since(r.cfg.Start) < time.Duration(r.currentUntil.Load())
}

// Submit proposes a command and waits for its result. It returns ErrNotLeader if
// another replica leads.
func (r *Replica) Submit(ctx context.Context, c store.Command) (store.Result, error) {
	reply := make(chan outcome, 1)
	out, err := r.request(ctx, command{command: c, reply: reply}, reply)
	return out.result, err
}

// Barrier returns the index that must be applied for a linearizable read. It returns
// ErrNotLeader if another replica leads.
func (r *Replica) Barrier(ctx context.Context) (uint64, error) {
	reply := make(chan outcome, 1)
	out, err := r.request(ctx, barrier{reply: reply}, reply)
	return out.index, err
}

// Step queues a message for the Raft model.
func (r *Replica) Step(ctx context.Context, msg raft.Msg) error {
	select {
	case r.received <- msg:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Errorf("queue message for replica: %w", ctx.Err())
	}
}

// deliver queues a message whose replies go back with the call that brought it.
func (r *Replica) deliver(ctx context.Context, d delivery) error {
	select {
	case r.received <- d:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Errorf("queue message for replica: %w", ctx.Err())
	}
}

// Read calls f with the state, which f must not retain.
func (r *Replica) Read(f func(m store.Model)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Status returns the replica's view of its group.
func (r *Replica) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// Changed returns a channel that is closed at the next change of the state.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Await waits until the index has been applied.
func (r *Replica) Await(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		reached := false
		r.Read(func(m store.Model) { reached = m.Index() >= index })
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-r.done:
			return ErrStopped
		case <-ctx.Done():
			return errors.Errorf("await index %d: %w", index, ctx.Err())
		}
	}
}

func (r *Replica) request(ctx context.Context, item any, reply <-chan outcome) (outcome, error) {
	select {
	case r.inbox <- item:
	case <-r.done:
		return outcome{}, ErrStopped
	case <-ctx.Done():
		return outcome{}, errors.Errorf("queue for replica: %w", ctx.Err())
	}
	select {
	case out := <-reply:
		return out, out.err
	case <-r.done:
		return outcome{}, ErrStopped
	case <-ctx.Done():
		return outcome{}, errors.Errorf("wait for replica: %w", ctx.Err())
	}
}
