package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/raft"
)

// _maxReplyWait is how long the replies to heartbeats may delay the reply to the call
// that carried them. Later ones are sent by themselves.
const _maxReplyWait = 50 * time.Millisecond

// delivery is a message to a replica whose replies go back with the call that brought it.
type delivery struct {
	msg     raft.ReceiveMsg
	replies *replies
}

// replies collects the replies to the messages of one call.
type replies struct {
	mu        sync.Mutex
	envelopes []raft.Envelope
	pending   int // messages that have not been handled
	closed    bool
	done      chan struct{} // closed when all messages were handled
}

func newReplies(messages int) *replies {
	return &replies{pending: messages, done: make(chan struct{})}
}

// add adds a reply. It returns false if it comes too late.
func (r *replies) add(envelope raft.Envelope) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.envelopes = append(r.envelopes, envelope)
	return true
}

// handled counts a message that has been handled.
func (r *replies) handled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending--
	if r.pending == 0 {
		close(r.done)
	}
}

// wait returns the replies once all messages were handled, or _maxReplyWait has passed.
func (r *replies) wait(ctx context.Context) []raft.Envelope {
	timer := time.NewTimer(_maxReplyWait)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.envelopes
}

// onlyHeartbeats reports whether no message of a batch makes a replica write to its disk.
func onlyHeartbeats(batch []raft.Envelope) bool {
	for _, envelope := range batch {
		body, ok := envelope.Body.(raft.Append)
		if !ok || len(body.Entries) > 0 {
			return false
		}
	}
	return true
}
