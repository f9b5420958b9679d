package ctrl

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskpitch/damaskpitch/raft"
)

// TestReplies checks that a call returns the replies to its messages once all of them
// were handled, and that none is lost that comes later: it is sent by itself.
func TestReplies(t *testing.T) {
	cases := []struct {
		name    string
		delays  []time.Duration // until each message is handled
		want    int             // replies that go back with the call
		maxWait time.Duration
	}{
		{"at once", []time.Duration{0, 0, 0}, 3, 0},
		{"one a little later", []time.Duration{0, 10 * time.Millisecond}, 2, 10 * time.Millisecond},
		{"one too late", []time.Duration{0, time.Second}, 1, _maxReplyWait},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := newReplies(len(c.delays))
			var late atomic.Int64
			for _, delay := range c.delays {
				go func() {
					time.Sleep(delay)
					if !r.add(raft.Envelope{}) {
						late.Add(1)
					}
					r.handled()
				}()
			}
			started := time.Now()
			got := r.wait(t.Context())
			if len(got) != c.want || time.Since(started) != c.maxWait {
				t.Errorf("%s: %d replies after %v, want %d after %v", c.name, len(got), time.Since(started), c.want, c.maxWait)
			}
			time.Sleep(2 * time.Second)
			if len(got)+int(late.Load()) != len(c.delays) {
				t.Errorf("%s: %d replies with the call, %d by themselves", c.name, len(got), late.Load())
			}
		})
	}
}

// TestOnlyHeartbeats checks which batches are answered with the call.
func TestOnlyHeartbeats(t *testing.T) {
	heartbeat := raft.Envelope{Body: raft.Append{Term: 1}}
	cases := []struct {
		name  string
		batch []raft.Envelope
		want  bool
	}{
		{"heartbeats", []raft.Envelope{heartbeat, heartbeat}, true},
		{"entries", []raft.Envelope{heartbeat, {Body: raft.Append{Entries: []raft.Entry{{Index: 1}}}}}, false},
		{"vote", []raft.Envelope{{Body: raft.Vote{}}}, false},
		{"reply", []raft.Envelope{{Body: raft.AppendReply{}}}, false},
	}
	for _, c := range cases {
		if got := onlyHeartbeats(c.batch); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
