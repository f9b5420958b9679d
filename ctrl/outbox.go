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
	_outboxQueue = 1024
	_sendTimeout = 2 * time.Second
	// _sendRate is the slowest link, in bytes a second, that a snapshot may
	// take.
	_sendRate = 2 << 20
)

// outbox sends replication messages, in order for each address; what does not
// fit its queue is dropped, which replication allows for.
type outbox struct {
	client *wire.Client
	mu     sync.Mutex
	queues map[string]chan raft.Envelope
	wg     sync.WaitGroup
	ctx    context.Context //nolint:containedctx // ends with the process
}

func newOutbox(ctx context.Context, client *wire.Client) *outbox {
	return &outbox{client: client, queues: map[string]chan raft.Envelope{}, ctx: ctx}
}

func (o *outbox) send(addr string, envelope raft.Envelope) {
	if addr == "" {
		return
	}
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
		q = make(chan raft.Envelope, _outboxQueue)
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
	ctx, cancel := context.WithTimeout(o.ctx, timeoutOf(batch))
	defer cancel()
	// A lost message is sent again by the next heartbeat.
	_, _ = o.client.Call(ctx, addr, proto.Replicate{Envelopes: batch})
}

// timeoutOf gives a snapshot the time that its size needs.
func timeoutOf(batch []raft.Envelope) time.Duration {
	size := 0
	for _, envelope := range batch {
		if install, ok := envelope.Body.(raft.Install); ok {
			size += len(install.Snapshot.Data)
		}
	}
	return _sendTimeout + time.Duration(size)*time.Second/_sendRate
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
