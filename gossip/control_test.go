package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
)

// TestIsolatedControlHost checks that a node polling an isolated control host, which
// never replies, gets a change from another one within two seconds.
func TestIsolatedControlHost(t *testing.T) {
	const maxPropagation = 2 * time.Second
	m := New(Config{Node: "n1", Control: []string{"isolated", "healthy"}, Seeds: []string{"peer"}})
	m.controlIndex = 0
	var due []struct {
		at  time.Duration
		msg Msg
	}
	later := func(at time.Duration, msg Msg) {
		due = append(due, struct {
			at  time.Duration
			msg Msg
		}{at, msg})
	}
	for now := time.Duration(0); now < 2*maxPropagation; now += 10 * time.Millisecond {
		msgs := []Msg{TickMsg{At: now}}
		due = slices.DeleteFunc(due, func(d struct {
			at  time.Duration
			msg Msg
		},
		) bool {
			if d.at <= now {
				msgs = append(msgs, d.msg)
			}
			return d.at <= now
		})
		for _, msg := range msgs {
			var cmds []Cmd
			m, cmds = m.Update(msg)
			for _, cmd := range cmds {
				pull, ok := cmd.(PullCmd)
				switch {
				case !ok:
				case pull.Addr != "healthy":
					// No reply: the call times out after the poll timeout and a margin.
					end := now + pull.Pull.Wait + 400*time.Millisecond
					later(end, PullFailedMsg{At: end, Source: pull.Source, Addr: pull.Addr})
				default:
					delta := proto.Delta{Cluster: 1, Rev: 9, From: 0, Control: []string{"healthy", "new"}}
					later(now, DeltaMsg{At: now, Source: pull.Source, Addr: pull.Addr, Delta: delta})
				}
			}
		}
		if len(m.Control()) == 3 {
			if now > maxPropagation {
				t.Errorf("control hosts learned after %v", now)
			}
			return
		}
	}
	t.Fatalf("control hosts never learned: %v", m.Control())
}

// TestControlHosts checks that a node uses the control hosts of the latest reply,
// ignores those of an older one, and keeps the configured ones as a fallback.
func TestControlHosts(t *testing.T) {
	m := New(Config{Node: "n1", Control: []string{"a", "b"}})
	respond := func(rev uint64, hosts ...string) {
		m, _ = m.Update(DeltaMsg{Source: Control, Delta: proto.Delta{Cluster: 1, Rev: rev, Control: hosts}})
	}
	respond(5, "c", "d")
	if got := m.Control(); !slices.Equal(got, []string{"c", "d", "a", "b"}) {
		t.Errorf("%v", got)
	}
	respond(4, "x")
	if got := m.Control(); slices.Contains(got, "x") {
		t.Errorf("control hosts of an older reply are used: %v", got)
	}
	respond(6, "b", "e")
	if got := m.Control(); !slices.Equal(got, []string{"b", "e", "a"}) {
		t.Errorf("%v", got)
	}
}
