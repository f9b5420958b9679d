package ctrl

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_tick         = 20 * time.Millisecond
	_inbox        = 4096
	_maxBatch     = 512
	_compactAfter = 10000
)

var (
	// ErrNoLeader says that the command had no effect: ask the leader.
	ErrNoLeader = errors.New("not the leader")
	// ErrLost says that the command had no effect: another leader took over.
	ErrLost = errors.New("command was replaced")
	// ErrSuperseded says that the group was rescued without this data folder.
	ErrSuperseded = errors.New("the data folder is from before a rescue: empty it and start again")
	// ErrStopped says that the replica has stopped; the outcome is unknown.
	ErrStopped = errors.New("replica stopped")
)

// ReplicaConfig sets up one replica.
type ReplicaConfig struct {
	Group  uint32
	Name   string // of the host
	Disk   *disk.Disk
	Send   func(to raft.Peer, envelope raft.Envelope)
	Lead   func()
	Logger *slog.Logger
	// Start is when the process started; the replicas of one process share it.
	Start time.Time
	Store store.Config
	Raft  raft.Config
}

// Replica runs one raft.Model and the store.Model that it feeds.
type Replica struct {
	cfg   ReplicaConfig
	inbox chan any
	done  chan struct{}

	mu      sync.RWMutex
	state   store.Model
	status  Status
	changed chan struct{}

	// Owned by the loop.
	model    raft.Model
	lead     time.Time
	base     time.Duration
	nextID   uint64
	waiting  map[uint64]chan<- outcome
	accepted map[uint64]raft.AcceptedCmd
	freezing bool
	encoders sync.WaitGroup
}

// Status is what a replica knows of its group.
type Status struct {
	Leader uint64
	Term   uint64
	Peers  []raft.Peer
}

type outcome struct {
	result store.Result
	index  uint64
	err    error
}

// command asks the loop to run a command.
type command struct {
	command any
	reply   chan<- outcome
}

// frozen is a finished snapshot of the state at an index.
type frozen struct {
	index uint64
	data  []byte
	err   error
}

// barrier asks the loop when the state is current.
type barrier struct {
	reply chan<- outcome
}

// NewReplica returns a replica with what the data folder holds.
func NewReplica(cfg ReplicaConfig) (*Replica, error) {
	saved, err := cfg.Disk.Load(cfg.Group)
	if err != nil {
		return nil, errors.Errorf("load group %d: %w", cfg.Group, err)
	}
	state := store.New(cfg.Store)
	if saved.Snapshot.Index > 0 {
		state, err = store.Load(cfg.Store, saved.Snapshot.Data)
		if err != nil {
			return nil, errors.Errorf("load group %d: %w", cfg.Group, err)
		}
	}
	r := &Replica{
		cfg:      cfg,
		inbox:    make(chan any, _inbox),
		done:     make(chan struct{}),
		state:    state,
		changed:  make(chan struct{}),
		model:    raft.New(cfg.Raft, saved),
		waiting:  map[uint64]chan<- outcome{},
		accepted: map[uint64]raft.AcceptedCmd{},
	}
	r.status.Peers = r.model.Peers()
	return r, nil
}

// Run feeds the model until the context ends or the disk fails.
func (r *Replica) Run(ctx context.Context) error {
	defer r.encoders.Wait()
	defer close(r.done)
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		var msgs []any
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case item := <-r.inbox:
			msgs = r.collect(item)
		}
		msgs = append(msgs, raft.TickMsg{At: time.Since(r.cfg.Start)})
		for _, msg := range msgs {
			if err := r.take(msg); err != nil {
				return errors.Errorf("group %d: %w", r.cfg.Group, err)
			}
		}
	}
}

// Submit runs a command; only the leader takes it.
func (r *Replica) Submit(ctx context.Context, c store.Command) (store.Result, error) {
	reply := make(chan outcome, 1)
	out, err := r.ask(ctx, command{command: c, reply: reply}, reply)
	return out.result, err
}

// Barrier returns the index at which the state is current; only the leader
// knows.
func (r *Replica) Barrier(ctx context.Context) (uint64, error) {
	reply := make(chan outcome, 1)
	out, err := r.ask(ctx, barrier{reply: reply}, reply)
	return out.index, err
}

// Tell hands a message to the model.
func (r *Replica) Tell(ctx context.Context, msg raft.Msg) error {
	select {
	case r.inbox <- msg:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Errorf("tell replica: %w", ctx.Err())
	}
}

// Read calls the function with the state; the function must not keep it.
func (r *Replica) Read(f func(m store.Model)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Status returns what the replica knows of its group.
func (r *Replica) Status() Status {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.status
}

// Changed returns a channel that closes when the state next changes.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Await waits until the state has reached an index.
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

func (r *Replica) ask(ctx context.Context, item any, reply <-chan outcome) (outcome, error) {
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
