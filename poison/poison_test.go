package poison

import (
	"fmt"
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
			m, cmds = m.Update(CrashMsg{Life: instance, Fingerprints: successes.Suspects(fingerprints, at), At: at})
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

// TestBan checks that a crash that is reported twice counts once, and that the ban
// expires.
func TestBan(t *testing.T) {
	m := New(Config{CrashWindow: time.Minute})
	crash := func(life string, at time.Duration) int {
		var cmds []Cmd
		m, cmds = m.Update(CrashMsg{Life: life, Fingerprints: []uint64{7}, At: at})
		return len(cmds)
	}
	if crash("a", 0) != 0 || crash("a", time.Second) != 0 || crash("b", 2*time.Second) != 1 {
		t.Error("want a ban at the second crash, and at no other report")
	}
	m, cmds := m.Update(ClockMsg{At: 2*time.Second + time.Minute})
	if len(cmds) != 1 || cmds[0] != (UnbanCmd{Fingerprint: 7}) || len(m.Suspects()) != 0 {
		t.Errorf("after the ban: %v, %v", cmds, m.Suspects())
	}
}

// TestCompletedRunsEndBan checks that a popular request isn't refused for good after
// several servers crashed for another reason while they ran it: the copies that were in
// flight elsewhere complete, and end the ban within the time for evidence.
func TestCompletedRunsEndBan(t *testing.T) {
	for _, crashes := range []int{2, 3, 8, 40} {
		m := New(Config{})
		var ban Ban
		for n := range crashes {
			var cmds []Cmd
			m, cmds = m.Update(CrashMsg{Life: fmt.Sprint(n), Fingerprints: []uint64{7}})
			for _, cmd := range cmds {
				ban = cmd.(BanCmd).Ban
			}
		}
		if ban.Verdict(0) != Deferred || ban.Verdict(_defaultEvidence-1) != Deferred {
			t.Errorf("%d crashes: verdicts %v and %v, want Deferred", crashes, ban.Verdict(0), ban.Verdict(_defaultEvidence-1))
		}
		completions := 0
		for unbanned := false; !unbanned; completions++ {
			if completions > _maxScore {
				t.Fatalf("%d crashes: banned after %d completions", crashes, completions)
			}
			var cmds []Cmd
			m, cmds = m.Update(CompletedMsg{Fingerprint: 7, At: 100 * time.Millisecond})
			unbanned = len(cmds) == 1 && cmds[0] == UnbanCmd{Fingerprint: 7}
		}
		t.Logf("%d crashes: the ban ends after %d completions", crashes, completions)
	}
}

// fleetDay plays a request that comes again, against the model, in virtual time.
type fleetDay struct {
	m                         Model
	now                       time.Duration
	ban                       *Ban
	bannedAt, crashedThird    time.Duration
	crashes, refused, retries int
}

// send sends the request; it crashes the server that runs it if deadly is set, and
// completes otherwise.
func (d *fleetDay) send(deadly bool) {
	verdict := Allowed
	if d.ban != nil {
		verdict = d.ban.Verdict(d.now - d.bannedAt)
	}
	if verdict == TrialDue {
		allowed := false
		for _, cmd := range d.update(TrialMsg{Fingerprint: 7, At: d.now}) {
			_, trial := cmd.(TrialCmd)
			allowed = allowed || trial
		}
		if allowed {
			verdict = Allowed
		}
	}
	switch {
	case verdict != Allowed:
		d.refused++
	case !deadly:
		d.update(CompletedMsg{Fingerprint: 7, At: d.now})
	default:
		if d.crashes >= 3 && d.now > d.crashedThird+3*time.Second {
			d.retries++
		}
		d.crashes++
		if d.crashes == 3 {
			d.crashedThird = d.now
		}
		// One instance that restarts: its lives differ.
		d.update(CrashMsg{Life: fmt.Sprint("one instance, life ", d.crashes), Fingerprints: []uint64{7}, At: d.now})
	}
}

func (d *fleetDay) update(msg Msg) []Cmd {
	var cmds []Cmd
	d.m, cmds = d.m.Update(msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case BanCmd:
			d.ban, d.bannedAt = &cmd.Ban, d.now
		case UnbanCmd:
			d.ban = nil
		case TrialCmd:
		}
	}
	return cmds
}

// TestDeadlyRequestIsTriedRarely checks that a request that crashes each server that
// runs it, and comes again for a minute and a half, reaches at most three servers later
// than three seconds after its third crash.
func TestDeadlyRequestIsTriedRarely(t *testing.T) {
	const maxRetries, day = 3, 90 * time.Second
	for _, interval := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 10 * time.Second} {
		d := fleetDay{m: New(Config{})}
		for ; d.now < day; d.now += interval {
			d.send(true)
		}
		t.Logf("every %v: %d crashes, %d later retries, %d refused", interval, d.crashes, d.retries, d.refused)
		if d.retries > maxRetries || d.crashes < 2 {
			t.Errorf("every %v: %d crashes, %d later retries, allowed %d", interval, d.crashes, d.retries, maxRetries)
		}
	}
}

// TestTrialEndsBan checks that a request that was in flight at two crashes by chance, and
// of which no copy ran elsewhere, is served again after one trial.
func TestTrialEndsBan(t *testing.T) {
	const wanted = _defaultEvidence + _defaultTrial + time.Second
	d := fleetDay{m: New(Config{})}
	d.send(true)
	d.send(true)
	for d.now < wanted {
		d.now += 100 * time.Millisecond
		d.send(false)
	}
	if d.ban != nil {
		t.Errorf("still banned %v after the crashes: %+v", d.now, d.ban)
	}
}

// TestRequestBeginsToCrash checks that a popular request that has completed a thousand
// times is banned when it begins to crash servers: a completed run rules out one crash.
func TestRequestBeginsToCrash(t *testing.T) {
	m := New(Config{})
	successes := map[string]*RecentSuccesses{"a": NewRecentSuccesses(), "b": NewRecentSuccesses()}
	banned := 0
	for crash := range 4 {
		node := []string{"a", "b"}[crash%2]
		for n := range 1000 {
			if crash < 2 {
				successes[node].Add(7, time.Duration(n))
			}
		}
		at := time.Duration(crash+1) * time.Second
		var cmds []Cmd
		m, cmds = m.Update(CrashMsg{Life: fmt.Sprint(crash), Fingerprints: successes[node].Suspects([]uint64{7}, at), At: at})
		banned += len(cmds)
	}
	if banned != 1 {
		t.Errorf("%d bans after two crashes at each of two nodes, want 1", banned)
	}
}
