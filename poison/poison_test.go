package poison

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestInnocent crashes two instances with 50 innocent requests aboard each
// time, some of them popular: only the guilty one is banned.
func TestInnocent(t *testing.T) {
	const guilty = 1 << 40
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 5))
		m := New(Config{})
		banned := map[uint64]bool{}
		for n, instance := range []string{"a", "b"} {
			at := time.Duration(n+1) * time.Minute
			aboard := NewAboard()
			for popular := range uint64(20) {
				aboard.Well(popular, at-time.Second)
			}
			prints := []uint64{guilty}
			for i := range 50 {
				mark := uint64(rng.IntN(20))
				if i >= 25 {
					mark = rng.Uint64()
				}
				prints = append(prints, mark)
			}
			var cmds []Cmd
			m, cmds = m.Update(CrashMsg{Instance: instance, Prints: aboard.Suspects(prints, at), At: at})
			for _, cmd := range cmds {
				if ban, ok := cmd.(BanCmd); ok {
					banned[ban.Print] = true
				}
			}
		}
		if len(banned) != 1 || !banned[guilty] {
			t.Fatalf("seed %d: banned %v", seed, banned)
		}
	}
}

// TestBan counts different instances only, and ends.
func TestBan(t *testing.T) {
	m := New(Config{Ban: time.Minute})
	crash := func(instance string, at time.Duration) int {
		var cmds []Cmd
		m, cmds = m.Update(CrashMsg{Instance: instance, Prints: []uint64{7}, At: at})
		return len(cmds)
	}
	if crash("a", 0) != 0 || crash("a", time.Second) != 0 || crash("b", 2*time.Second) != 1 {
		t.Error("the second instance's crash bans, and no other")
	}
	m, cmds := m.Update(ClockMsg{At: 2*time.Second + time.Minute})
	if len(cmds) != 1 || cmds[0] != (LiftCmd{Print: 7}) || len(m.Suspects()) != 0 {
		t.Errorf("after the ban: %v, %v", cmds, m.Suspects())
	}
}
