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

// calmFleet is a node that polls control hosts which reply to each poll after its wait,
// in virtual time.
type calmFleet struct {
	m        Model
	now      time.Duration
	current  func(now time.Duration) bool // whether a reply says that its host is in touch
	polls    []PullCmd                    // polls under way
	pollEnds []time.Duration
	pulls    []time.Duration // when peers were pulled from
}

// run lets the node act whenever its model asks for a tick, until a time.
func (f *calmFleet) run(until time.Duration) {
	for f.now < until {
		var cmds []Cmd
		f.m, cmds = f.m.Update(TickMsg{At: f.now})
		for _, cmd := range cmds {
			pull, ok := cmd.(PullCmd)
			switch {
			case !ok:
			case pull.Source == Peer:
				f.pulls = append(f.pulls, f.now)
				f.m, _ = f.m.Update(DeltaMsg{At: f.now, Source: Peer, Delta: proto.Delta{Cluster: 1, Rev: 1}})
			default:
				f.polls = append(f.polls, pull)
				f.pollEnds = append(f.pollEnds, f.now+pull.Pull.Wait)
			}
		}
		next := max(f.now+time.Millisecond, f.m.NextTick())
		if len(f.pollEnds) > 0 && f.pollEnds[0] <= next {
			next = f.pollEnds[0]
			delta := proto.Delta{Cluster: 1, Rev: 1, Current: f.current(next)}
			f.m, _ = f.m.Update(DeltaMsg{At: next, Source: Control, Addr: f.polls[0].Addr, Delta: delta})
			f.polls, f.pollEnds = f.polls[1:], f.pollEnds[1:]
		}
		f.now = next
	}
}

// TestCalmGossip checks that a node rarely pulls from peers while the control hosts that
// it polls are in touch with a leader, and does so within two seconds and then often
// once they are not.
func TestCalmGossip(t *testing.T) {
	const (
		calm  = time.Minute
		tense = 10 * time.Second
		// One pull in three seconds, and the tight interval when there is no contact.
		maxCalmPulls  = int(calm / (3 * time.Second))
		minTensePulls = int(tense / (2 * _defaultGossipInterval))
		maxDelay      = 2 * time.Second
	)
	f := &calmFleet{
		m:       New(Config{Node: "n1", Control: []string{"a", "b"}, Seeds: []string{"peer"}}),
		current: func(now time.Duration) bool { return now < calm },
	}
	f.run(calm)
	if n := len(f.pulls); n > maxCalmPulls || n == 0 {
		t.Errorf("%d pulls from peers in a calm minute, want 1 to %d", n, maxCalmPulls)
	}
	f.pulls = nil
	f.run(calm + tense)
	if len(f.pulls) < minTensePulls || f.pulls[0] > calm+maxDelay {
		t.Errorf("pulls from peers after %v without contact: %v", tense, f.pulls)
	}
}
