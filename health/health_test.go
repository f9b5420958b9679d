package health

import (
	"fmt"
	"testing"
	"time"
)

// newTestModel returns a model of 12 members in 4 data centres, all seen at the given
// time.
func newTestModel(at time.Duration) Model {
	m := New(Config{})
	for n := range 12 {
		m, _ = m.Update(HeartbeatMsg{Node: fmt.Sprint("n", n), Center: fmt.Sprint("d", n/3), Epoch: 1, At: at})
	}
	return m
}

// runMinute simulates a minute in which some members send no heartbeats, answers the
// probes, and returns the members marked unreachable.
func runMinute(silent func(n int) bool, reached func(node string) bool) []string {
	m := newTestModel(0)
	var unreachable []string
	var run func(cmds []Cmd, at time.Duration)
	run = func(cmds []Cmd, at time.Duration) {
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case ProbeCmd:
				var more []Cmd
				m, more = m.Update(ProbeResultMsg{Node: cmd.Node, Epoch: cmd.Epoch, Prober: cmd.Prober, Reached: reached(cmd.Node), At: at})
				run(more, at)
			case UnreachableCmd:
				unreachable = append(unreachable, cmd.Node)
			}
		}
	}
	for at := time.Second; at < time.Minute; at += time.Second {
		for n := range 12 {
			if !silent(n) {
				var cmds []Cmd
				m, cmds = m.Update(HeartbeatMsg{Node: fmt.Sprint("n", n), Center: fmt.Sprint("d", n/3), Epoch: 1, At: at})
				run(cmds, at)
			}
		}
		var cmds []Cmd
		m, cmds = m.Update(TickMsg{At: at})
		run(cmds, at)
	}
	return unreachable
}

// TestUnreachableMembers checks that a failed host or data centre is marked
// unreachable, but not members cut off only from the detector or a majority that is
// silent at once.
func TestUnreachableMembers(t *testing.T) {
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	cases := []struct {
		name        string
		silent      func(n int) bool
		reached     func(node string) bool
		unreachable int
	}{
		{"no member is silent", func(int) bool { return false }, never, 0},
		{"one failed host", func(n int) bool { return n == 4 }, never, 1},
		{"one-way partition", func(n int) bool { return n == 4 }, always, 0},
		{"one failed data centre", func(n int) bool { return n/3 == 2 }, never, 3},
		{"most members are silent", func(n int) bool { return n < 8 }, never, 0},
		{"all members are silent", func(int) bool { return true }, never, 0},
	}
	for _, c := range cases {
		if unreachable := runMinute(c.silent, c.reached); len(unreachable) != c.unreachable {
			t.Errorf("%s: unreachable members %v, want %d", c.name, unreachable, c.unreachable)
		}
	}
}

// TestRecoveryAndRemoval checks that an unreachable member becomes reachable with its
// next heartbeat, and is removed if none follows.
func TestRecoveryAndRemoval(t *testing.T) {
	m := New(Config{RemoveAfter: time.Minute})
	m, _ = m.Update(HeartbeatMsg{Node: "a", Epoch: 1})
	m, cmds := m.Update(TickMsg{At: 10 * time.Second})
	if len(cmds) != 1 || cmds[0] != (UnreachableCmd{Node: "a", Epoch: 1}) {
		t.Fatalf("commands for a silent member: %v", cmds)
	}
	m, cmds = m.Update(HeartbeatMsg{Node: "a", Epoch: 1, At: 20 * time.Second})
	if len(cmds) != 1 || cmds[0] != (ReachableCmd{Node: "a", Epoch: 1}) {
		t.Fatalf("commands for its next heartbeat: %v", cmds)
	}
	m, _ = m.Update(TickMsg{At: 40 * time.Second})
	_, cmds = m.Update(TickMsg{At: 90 * time.Second})
	if len(cmds) != 1 || cmds[0] != (RemoveCmd{Node: "a", Epoch: 1}) {
		t.Errorf("commands for a member that stays silent: %v", cmds)
	}
}
