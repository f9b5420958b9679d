package floor

import (
	"slices"
	"testing"
	"time"
)

// TestEjectionEndsBelowFloor checks that an ejection ends as soon as the loss of
// another instance leaves too few healthy ones, and that no more end than needed.
func TestEjectionEndsBelowFloor(t *testing.T) {
	const now = 10 * time.Second
	cases := []struct {
		name string
		msg  Msg
		want []string
	}{
		{"leave", LeaveMsg{ID: "c", At: now}, []string{"a"}},
		{"unreachable", ReachabilityMsg{ID: "c", Unreachable: true, At: now}, []string{"a"}},
		{"removed", RemoveMsg{ID: "c", At: now}, []string{"a"}},
		{"higher floor", SetFloorMsg{Floor: 4, At: now}, []string{"a", "b"}},
		{"floor by share", SetFloorMsg{Share: 0.75, At: now}, []string{"a"}},
		{"reachable", ReachabilityMsg{ID: "c", At: now}, nil},
		{"an ejected one leaves", LeaveMsg{ID: "b", At: now}, nil},
	}
	for _, c := range cases {
		m := New(2)
		for _, id := range []string{"a", "b", "c", "d"} {
			apply(&m, JoinMsg{ID: id})
		}
		// The ejection of a ends before that of b.
		apply(&m, EjectMsg{ID: "a", At: now - time.Second, TTL: 5 * time.Second})
		apply(&m, EjectMsg{ID: "b", At: now - time.Second, TTL: 6 * time.Second})
		if got := m.Ejected(); !slices.Equal(got, []string{"a", "b"}) {
			t.Fatalf("%s: ejected %v at first", c.name, got)
		}
		var restored []string
		for _, cmd := range apply(&m, c.msg) {
			if cmd, ok := cmd.(RestoredCmd); ok {
				restored = append(restored, cmd.ID)
			}
		}
		if !slices.Equal(restored, c.want) {
			t.Errorf("%s: restored %v, want %v", c.name, restored, c.want)
		}
	}
}

// TestShareBindsEjections checks that a floor given as a share of the instances binds
// first ejections and renewals.
func TestShareBindsEjections(t *testing.T) {
	m := New(0)
	apply(&m, SetFloorMsg{Share: 0.7})
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		apply(&m, JoinMsg{ID: id})
	}
	granted := 0
	for n, id := range []string{"a", "b", "c", "d", "e"} {
		// Requests are far apart, so that they do not look like a shared cause.
		at := time.Duration(n+1) * 2 * _requestWindow
		for _, cmd := range apply(&m, EjectMsg{ID: id, At: at, TTL: time.Hour}) {
			if _, ok := cmd.(GrantedCmd); ok {
				granted++
			}
		}
	}
	if granted != 3 {
		t.Errorf("%d of 10 instances ejected with a floor of 0.7, want 3", granted)
	}
	at := 20 * _requestWindow
	apply(&m, LeaveMsg{ID: "j", At: at})
	if healthy := m.Healthy(at); healthy != 7 {
		t.Errorf("%d healthy after one left, want 7", healthy)
	}
}
