package poison

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestInFlight checks that of the requests in flight at two crashes, only the one
// that caused them is banned: 50 others are in flight each time, some of them with
// popular fingerprints that recently completed.
func TestInFlight(t *testing.T) {
	const poisonous = 1 << 40
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		m := New(Config{})
		banned := map[uint64]bool{}
		for n, instance := range []string{"a", "b"} {
			at := time.Duration(n+1) * time.Minute
			successes := NewRecentSuccesses()
			for popular := range uint64(20) {
				successes.Add(popular, at-time.Second)
			}
			fingerprints := []uint64{poisonous}
			for i := range 50 {
				fingerprint := uint64(rng.IntN(20))
				if i >= 25 {
					fingerprint = rng.Uint64()
				}
				fingerprints = append(fingerprints, fingerprint)
			}
			var cmds []Cmd
			m, cmds = m.Update(CrashMsg{Instance: instance, Fingerprints: successes.Suspects(fingerprints, at), At: at})
			for _, cmd := range cmds {
				if ban, ok := cmd.(BanCmd); ok {
					banned[ban.Fingerprint] = true
				}
			}
		}
		if len(banned) != 1 || !banned[poisonous] {
			t.Fatalf("seed %d: banned %v", seed, banned)
		}
	}
}

// TestBan checks that only crashes of different instances count, and that the ban
// expires.
func TestBan(t *testing.T) {
	m := New(Config{BanDuration: time.Minute})
	crash := func(instance string, at time.Duration) int {
		var cmds []Cmd
		m, cmds = m.Update(CrashMsg{Instance: instance, Fingerprints: []uint64{7}, At: at})
		return len(cmds)
	}
	if crash("a", 0) != 0 || crash("a", time.Second) != 0 || crash("b", 2*time.Second) != 1 {
		t.Error("want a ban at the crash of the second instance, and at no other")
	}
	m, cmds := m.Update(ClockMsg{At: 2*time.Second + time.Minute})
	if len(cmds) != 1 || cmds[0] != (UnbanCmd{Fingerprint: 7}) || len(m.Suspects()) != 0 {
		t.Errorf("after the ban: %v, %v", cmds, m.Suspects())
	}
}
