package ctrl

import (
	"context"
	"sync"
	"time"
)

// _readDelay is how long a linearizable read waits for others to share it. Each read costs a
// message to every host of the group, and each node reports up to ten times a second.
const _readDelay = 20 * time.Millisecond

// sharedReads lets reads that arrive close together share one confirmation by a quorum. A
// read only shares one that begins after it has arrived.
type sharedReads struct {
	// read waits until the state is at least as new as what was committed before the call.
	read func(ctx context.Context) error

	mu   sync.Mutex
	next *sharedRead // that has not begun, or nil
}

// sharedRead is a read and its outcome, which is valid once done is closed.
type sharedRead struct {
	done chan struct{}
	err  error
}

// await performs a read with others.
func (r *sharedReads) await(ctx context.Context) error {
	r.mu.Lock()
	shared := r.next
	if shared == nil {
		shared = &sharedRead{done: make(chan struct{})}
		r.next = shared
		go r.run(shared)
	}
	r.mu.Unlock()
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *sharedReads) run(shared *sharedRead) {
	time.Sleep(_readDelay)
	r.mu.Lock()
	r.next = nil
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), _rpcTimeout)
	defer cancel()
	shared.err = r.read(ctx)
	close(shared.done)
}

// readAtLeader waits until this host, if it leads, has applied all that was committed before
// the call.
func (s *Server) readAtLeader(ctx context.Context) error {
	index, err := s.replica.Barrier(ctx)
	if err != nil {
		return err
	}
	return s.replica.Await(ctx, index)
}
