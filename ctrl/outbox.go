package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_outboxCapacity = 1024
	_sendTimeout    = 2 * time.Second
	// _minSendRate is the lowest throughput, in bytes per second, at which a
	// snapshot transfer still succeeds.
	_minSendRate = 2 << 20
	// _maxLongReply is the maximum size in bytes of a reply that grows with the fleet or
	// with the number of messages in the call.
	_maxLongReply = 16 << 20
)

// outbox sends Raft messages asynchronously, in order for each address. Messages are
// dropped when the queue is full, which Raft tolerates.
type outbox struct {
	client *wire.Client
	// receive handles the replies that come back with a call.
	receive func(ctx context.Context, envelopes []raft.Envelope) error
	mu      sync.Mutex
	queues  map[string]chan raft.Envelope
	wg      sync.WaitGroup
	ctx     context.Context //nolint:containedctx // lives as long as the process
}

func newOutbox(ctx context.Context, client *wire.Client, receive func(context.Context, []raft.Envelope) error) *outbox {
	return &outbox{client: client, receive: receive, queues: map[string]chan raft.Envelope{}, ctx: ctx}
}

func (o *outbox) send(addr string, envelope raft.Envelope) {
	select {
	case o.queue(addr) <- envelope:
	default:
	}
}

func (o *outbox) queue(addr string) chan raft.Envelope {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[addr]
	if !ok {
		q = make(chan raft.Envelope, _outboxCapacity)
		o.queues[addr] = q
		o.wg.Go(func() { o.deliver(addr, q) })
	}
	return q
}

func (o *outbox) deliver(addr string, q <-chan raft.Envelope) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case envelope := <-q:
			o.deliverBatch(addr, collectBatch(envelope, q))
		}
	}
}

func (o *outbox) deliverBatch(addr string, batch []raft.Envelope) {
	ctx, cancel := context.WithTimeout(o.ctx, sendTimeout(batch))
	defer cancel()
	// Raft resends lost messages with the next heartbeat.
	reply, err := o.client.CallWith(ctx, addr, proto.Replicate{Envelopes: batch, WantReplies: onlyHeartbeats(batch)},
		wire.CallOptions{MaxReply: _maxLongReply})
	if replies, ok := reply.(proto.ReplicateReply); ok && err == nil {
		_ = o.receive(ctx, replies.Envelopes)
	}
}

// sendTimeout extends the timeout in proportion to the size of snapshots.
func sendTimeout(batch []raft.Envelope) time.Duration {
	size := 0
	for _, envelope := range batch {
		if install, ok := envelope.Body.(raft.Install); ok {
			size += len(install.Snapshot.Data)
		}
	}
	return _sendTimeout + time.Duration(size)*time.Second/_minSendRate
}

func collectBatch(first raft.Envelope, q <-chan raft.Envelope) []raft.Envelope {
	batch := []raft.Envelope{first}
	for len(batch) < _maxBatch {
		select {
		case envelope := <-q:
			batch = append(batch, envelope)
		default:
			return batch
		}
	}
	return batch
}
