package floor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFloorInvariant checks that under any interleaving of joins, leaves, host
// failures, cold instances, ejections and expired leases, a granted or renewed
// ejection never leaves fewer healthy instances than the floor, and that no instance
// that could work stays ejected after the loss of another one below the floor.
func TestFloorInvariant(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.IntRange(0, 8).Draw(t, "floor"))
		m.Share = rapid.Float64Range(0, 1).Draw(t, "share")
		var now time.Duration
		for range 120 {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond
			msg := message(t, id, now)
			for _, cmd := range apply(&m, msg) {
				granted, ok := cmd.(GrantedCmd)
				if ok && m.Healthy(now) < m.Minimum() {
					t.Fatalf("%d healthy of a floor of %d after %+v", m.Healthy(now), m.Minimum(), granted)
				}
			}
			if next, ok := m.nextToRestore(); ok && losesInstance(msg) && m.Healthy(now) < m.Minimum() {
				t.Fatalf("%s stays ejected with %d healthy of a floor of %d after %+v", next, m.Healthy(now), m.Minimum(), msg)
			}
		}
	})
}

// losesInstance reports whether a message may take an instance out of service for
// another cause than an ejection.
func losesInstance(msg Msg) bool {
	switch msg.(type) {
	case LeaveMsg, ReachabilityMsg, RemoveMsg, SetFloorMsg:
		return true
	}
	return false
}

func apply(m *Model, msg Msg) []Cmd {
	model, cmds := m.Update(msg)
	*m = model
	return cmds
}

func message(t *rapid.T, id string, now time.Duration) Msg {
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		return JoinMsg{ID: id, WarmAt: now + time.Duration(rapid.IntRange(0, 3).Draw(t, "warm"))*time.Second}
	case 2:
		return LeaveMsg{ID: id, At: now}
	case 3:
		return ReachabilityMsg{ID: id, Unreachable: rapid.Bool().Draw(t, "unreachable"), At: now}
	case 4:
		return RemoveMsg{ID: id, At: now}
	case 5:
		return RestoreMsg{ID: id}
	case 6:
		return ClockMsg{At: now}
	default:
		return EjectMsg{ID: id, At: now, TTL: 5 * time.Second, Confirm: 300 * time.Millisecond}
	}
}

// TestSharedCause checks that no ejection is granted once most instances request one.
func TestSharedCause(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	m := New(0)
	for _, id := range ids {
		apply(&m, JoinMsg{ID: id})
	}
	for round := range 50 {
		now := time.Duration(round+1) * 250 * time.Millisecond
		for _, id := range ids {
			for _, cmd := range apply(&m, EjectMsg{ID: id, At: now, TTL: time.Second, Confirm: 500 * time.Millisecond}) {
				if _, ok := cmd.(GrantedCmd); ok {
					t.Fatalf("round %d ejected %s", round, id)
				}
			}
		}
	}
}
