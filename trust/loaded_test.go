package trust

import (
	"math/rand/v2"
	"testing"
	"time"
)

// loadedInstance is an instance with several requests in flight, without a network and
// in virtual time, that fails most of what starts during a spell.
type loadedInstance struct {
	m       Model
	rng     *rand.Rand
	ends    []ResultMsg     // of running requests, in order
	outlive []time.Duration // when running probes outlive the failures
	lost    int             // requests that failed and must not run twice
	served  int
}

const (
	_spellBegin, _spellEnd = 10 * time.Second, 19 * time.Second
	_spellShare            = 0.85
	_workTime              = 600 * time.Millisecond
	_failTime              = 2 * time.Millisecond
	// _isolatedShare is the share of requests that fail on any instance, after its work.
	_isolatedShare = 0.012
)

// advance reports what has ended by a time.
func (i *loadedInstance) advance(at time.Duration) {
	for len(i.ends) > 0 && i.ends[0].At <= at {
		i.m = i.m.Update(i.ends[0])
		i.ends = i.ends[1:]
	}
	for len(i.outlive) > 0 && i.outlive[0] <= at {
		i.m = i.m.Update(OutlivedMsg{At: i.outlive[0]})
		i.outlive = i.outlive[1:]
	}
}

// send sends a request to the instance, if it is admitted.
func (i *loadedInstance) send(at time.Duration, once, othersFull bool) {
	i.advance(at)
	if !i.m.Admits(Request{At: at, Once: once, OthersFull: othersFull, Probes: len(i.outlive)}) {
		return
	}
	if at >= _spellBegin && at < _spellEnd && i.rng.Float64() < _spellShare {
		if once {
			i.lost++
		}
		i.m = i.m.Update(ResultMsg{At: at + _failTime, Failed: true, StartedAt: at, Latency: _failTime, Typical: _workTime})
		return
	}
	i.served++
	if i.m.Suspects(at) {
		i.outlive = append(i.outlive, at+_minOutlived)
	}
	i.ends = append(i.ends, ResultMsg{
		At: at + _workTime, StartedAt: at, Latency: _workTime, Typical: _workTime, Failed: i.rng.Float64() < _isolatedShare,
	})
}

// TestSpellUnderLoad checks the pattern that a loaded instance turns gray: requests that
// started before still succeed, and must not make it trusted again. Per spell of nine
// seconds, at ten requests a second of which three are idempotent, at most one that
// must not run twice may be lost. Beside spells, isolated failures may keep away at most
// one request in a hundred.
func TestSpellUnderLoad(t *testing.T) {
	const (
		rate      = 10.0
		runs      = 200
		end       = 30 * time.Second
		maxLost   = 1.0
		minServed = 0.99
	)
	lost, served, calm := 0, 0, 0
	for seed := range uint64(runs) {
		i := &loadedInstance{rng: rand.New(rand.NewPCG(seed, 2))}
		for at := time.Duration(0); at < end; at += time.Duration(i.rng.ExpFloat64() / rate * float64(time.Second)) {
			before := i.served
			i.send(at, i.rng.IntN(10) >= 3, false)
			if at < _spellBegin {
				calm++
				served += i.served - before
			}
		}
		lost += i.lost
	}
	t.Logf("%.2f lost requests per spell; %.4f of the requests admitted before it", float64(lost)/runs, float64(served)/float64(calm))
	if got := float64(lost) / runs; got > maxLost {
		t.Errorf("%.2f lost requests per spell, limit %.1f", got, maxLost)
	}
	if got := float64(served) / float64(calm); got < minServed {
		t.Errorf("%.4f of the requests admitted beside spells, want %.2f", got, minServed)
	}
}

// TestWorkedOnFailures checks which failures raise suspicion by themselves: one after
// little work does, one after much of it only if another came before it.
func TestWorkedOnFailures(t *testing.T) {
	const at = time.Second
	quick := ResultMsg{At: at, StartedAt: at, Failed: true, Latency: _failTime, Typical: _workTime}
	slow := ResultMsg{At: at, StartedAt: at, Failed: true, Latency: _workTime, Typical: _workTime}
	unknown := ResultMsg{At: at, StartedAt: at, Failed: true, Latency: _workTime}
	success := ResultMsg{At: at, StartedAt: at, Latency: _workTime}
	cases := []struct {
		name    string
		results []ResultMsg
		want    bool
	}{
		{"after little work", []ResultMsg{quick}, true},
		{"after much work", []ResultMsg{slow}, false},
		{"twice after much work", []ResultMsg{slow, slow}, true},
		{"a success between them", []ResultMsg{slow, success, slow}, false},
		{"unknown typical latency", []ResultMsg{unknown}, true},
	}
	for _, c := range cases {
		var m Model
		for _, r := range c.results {
			m = m.Update(r)
		}
		if got := m.Suspects(at); got != c.want {
			t.Errorf("%s: suspected %t", c.name, got)
		}
	}
}

// TestOthersFull checks that where other instances are full, requests that started
// before the last failure and succeeded suffice to admit others, also those that must
// not run twice.
func TestOthersFull(t *testing.T) {
	const failedAt = time.Second
	m := Model{}.Update(ResultMsg{At: failedAt, StartedAt: failedAt, Failed: true})
	before := ResultMsg{At: failedAt + 1, StartedAt: failedAt - 1}
	m = m.Update(before).Update(before)
	for _, full := range []bool{true, false} {
		if got := m.Admits(Request{At: failedAt + 2, Once: true, OthersFull: full}); got != full {
			t.Errorf("others full %t: admitted %t", full, got)
		}
	}
}
