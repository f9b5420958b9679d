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
	_postQueue   = 1024
	_postTimeout = 2 * time.Second
	// _postRate is the slowest link, in bytes a second, that a snapshot may
	// take.
	_postRate = 2 << 20
)

// post sends replication messages, in order for each address; what does not
// fit its queue is dropped, which replication allows for.
type post struct {
	client *wire.Client
	mu     sync.Mutex
	queues map[string]chan raft.Letter
	wg     sync.WaitGroup
	ctx    context.Context //nolint:containedctx // ends with the process
}

func newPost(ctx context.Context, client *wire.Client) *post {
	return &post{client: client, queues: map[string]chan raft.Letter{}, ctx: ctx}
}

func (p *post) send(addr string, letter raft.Letter) {
	if addr == "" {
		return
	}
	select {
	case p.queue(addr) <- letter:
	default:
	}
}

func (p *post) queue(addr string) chan raft.Letter {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[addr]
	if !ok {
		q = make(chan raft.Letter, _postQueue)
		p.queues[addr] = q
		p.wg.Go(func() { p.deliver(addr, q) })
	}
	return q
}

func (p *post) deliver(addr string, q <-chan raft.Letter) {
	for {
		select {
		case <-p.ctx.Done():
			return
		case letter := <-q:
			p.mail(addr, collectLetters(letter, q))
		}
	}
}

func (p *post) mail(addr string, letters []raft.Letter) {
	ctx, cancel := context.WithTimeout(p.ctx, timeoutOf(letters))
	defer cancel()
	// A lost message is sent again by the next heartbeat.
	_, _ = p.client.Call(ctx, addr, proto.Mail{Letters: letters})
}

// timeoutOf gives a snapshot the time that its size needs.
func timeoutOf(letters []raft.Letter) time.Duration {
	size := 0
	for _, letter := range letters {
		if install, ok := letter.Body.(raft.Install); ok {
			size += len(install.Snapshot.Data)
		}
	}
	return _postTimeout + time.Duration(size)*time.Second/_postRate
}

func collectLetters(first raft.Letter, q <-chan raft.Letter) []raft.Letter {
	letters := []raft.Letter{first}
	for len(letters) < _maxBatch {
		select {
		case letter := <-q:
			letters = append(letters, letter)
		default:
			return letters
		}
	}
	return letters
}
