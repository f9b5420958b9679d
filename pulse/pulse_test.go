package pulse

import (
	"fmt"
	"testing"
	"time"
)

// quarter is 12 members in 4 data centres, all heard at the time.
func quarter(at time.Duration) Model {
	m := New(Config{})
	for n := range 12 {
		m, _ = m.Update(BeatMsg{Node: fmt.Sprint("n", n), Center: fmt.Sprint("d", n/3), Epoch: 1, At: at})
	}
	return m
}

// watch lets members fall silent, answers questions, and returns what was
// marked lost within a minute.
func watch(silent func(n int) bool, reached func(node string) bool) []string {
	m := quarter(0)
	var lost []string
	var run func(cmds []Cmd, at time.Duration)
	run = func(cmds []Cmd, at time.Duration) {
		for _, cmd := range cmds {
			switch cmd := cmd.(type) {
			case AskCmd:
				var more []Cmd
				m, more = m.Update(ReportMsg{Node: cmd.Node, Epoch: cmd.Epoch, By: cmd.By, Reached: reached(cmd.Node), At: at})
				run(more, at)
			case LostCmd:
				lost = append(lost, cmd.Node)
			}
		}
	}
	for at := time.Second; at < time.Minute; at += time.Second {
		for n := range 12 {
			if !silent(n) {
				var cmds []Cmd
				m, cmds = m.Update(BeatMsg{Node: fmt.Sprint("n", n), Center: fmt.Sprint("d", n/3), Epoch: 1, At: at})
				run(cmds, at)
			}
		}
		var cmds []Cmd
		m, cmds = m.Update(ClockMsg{At: at})
		run(cmds, at)
	}
	return lost
}

// TestSilence tells a dead host from a one-way cut, a lost data centre from a
// mass silence.
func TestSilence(t *testing.T) {
	nobody := func(string) bool { return false }
	everybody := func(string) bool { return true }
	cases := []struct {
		name    string
		silent  func(n int) bool
		reached func(node string) bool
		lost    int
	}{
		{"nobody is silent", func(int) bool { return false }, nobody, 0},
		{"a dead host", func(n int) bool { return n == 4 }, nobody, 1},
		{"a one-way cut", func(n int) bool { return n == 4 }, everybody, 0},
		{"a lost data centre", func(n int) bool { return n/3 == 2 }, nobody, 3},
		{"most are silent", func(n int) bool { return n < 8 }, nobody, 0},
		{"all are silent", func(int) bool { return true }, nobody, 0},
	}
	for _, c := range cases {
		if lost := watch(c.silent, c.reached); len(lost) != c.lost {
			t.Errorf("%s: lost %v, want %d", c.name, lost, c.lost)
		}
	}
}

// TestReturn brings a lost member back, and removes one that stays away.
func TestReturn(t *testing.T) {
	m := New(Config{Removal: time.Minute})
	m, _ = m.Update(BeatMsg{Node: "a", Epoch: 1})
	m, cmds := m.Update(ClockMsg{At: 10 * time.Second})
	if len(cmds) != 1 || cmds[0] != (LostCmd{Node: "a", Epoch: 1}) {
		t.Fatalf("a lone silent member: %v", cmds)
	}
	m, cmds = m.Update(BeatMsg{Node: "a", Epoch: 1, At: 20 * time.Second})
	if len(cmds) != 1 || cmds[0] != (BackCmd{Node: "a", Epoch: 1}) {
		t.Fatalf("its return: %v", cmds)
	}
	m, _ = m.Update(ClockMsg{At: 40 * time.Second})
	_, cmds = m.Update(ClockMsg{At: 90 * time.Second})
	if len(cmds) != 1 || cmds[0] != (RemoveCmd{Node: "a", Epoch: 1}) {
		t.Errorf("a member that stays away: %v", cmds)
	}
}
