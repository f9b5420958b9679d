package spread

import (
	"slices"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
)

// TestIsolatedControlHost follows a control host that is cut off without a sign while
// another one and a peer know a newer revision: it is in force within the two
// seconds that a change has.
func TestIsolatedControlHost(t *testing.T) {
	const maxPropagation = 2 * time.Second
	m := New(Config{Node: "n1", Control: []string{"silent", "well"}, Seeds: []string{"peer"}})
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
				case pull.Addr != "well":
					// No answer: the call ends after its wait and a margin.
					end := now + pull.Pull.Wait + 400*time.Millisecond
					later(end, PullFailedMsg{At: end, Source: pull.Source, Addr: pull.Addr})
				default:
					delta := proto.Delta{Cluster: 1, Rev: 9, From: 0, Control: []string{"well", "new"}}
					later(now, DeltaMsg{At: now, Source: pull.Source, Addr: pull.Addr, Delta: delta})
				}
			}
		}
		if len(m.Control()) == 3 {
			if now > maxPropagation {
				t.Errorf("told after %v", now)
			}
			return
		}
	}
	t.Fatalf("never told; control hosts %v", m.Control())
}

// TestControlHosts follows the hosts that answers tell, an older answer changes
// nothing, and those of the settings stay for when all others are gone.
func TestControlHosts(t *testing.T) {
	m := New(Config{Node: "n1", Control: []string{"a", "b"}})
	tell := func(rev uint64, hosts ...string) {
		m, _ = m.Update(DeltaMsg{Source: Control, Delta: proto.Delta{Cluster: 1, Rev: rev, Control: hosts}})
	}
	tell(5, "c", "d")
	if got := m.Control(); !slices.Equal(got, []string{"c", "d", "a", "b"}) {
		t.Errorf("%v", got)
	}
	tell(4, "x")
	if got := m.Control(); slices.Contains(got, "x") {
		t.Errorf("an older answer is followed: %v", got)
	}
	tell(6, "b", "e")
	if got := m.Control(); !slices.Equal(got, []string{"b", "e", "a"}) {
		t.Errorf("%v", got)
	}
}
