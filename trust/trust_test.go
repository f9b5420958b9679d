package trust

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPartialFailure checks an instance that immediately fails 90% of its requests for
// five seconds, at six requests per second of which two are idempotent. Few of the
// others may be lost, probes must stay rare, and the instance must be trusted again
// soon after it recovers.
func TestPartialFailure(t *testing.T) {
	const (
		begin, end = 2 * time.Second, 7 * time.Second
		failRate   = 0.9
		rate       = 6.0
		// The target per period: at most two of some twenty requests that are not
		// idempotent are lost, and one retry per second besides the first ones.
		maxLost, maxProbes = 2.0, 10.0
	)
	lost, probes := 0, 0
	var slowest time.Duration
	const runs = 200
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var m Model
		trusted := time.Duration(0)
		for at := time.Duration(0); at < 15*time.Second; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			once := rng.IntN(3) > 0
			if !m.Admits(Request{At: at, Once: once}) {
				continue
			}
			failed := at >= begin && at < end && rng.Float64() < failRate
			if failed && once {
				lost++
			}
			if m.Suspects(at) && at < end {
				probes++
			}
			m = m.Update(ResultMsg{At: at, Failed: failed, StartedAt: at})
			if at >= end && trusted == 0 && !m.Suspects(at) {
				trusted = at - end
			}
		}
		slowest = max(slowest, trusted)
	}
	t.Logf("%.2f lost requests and %.2f probes per period; trusted again after at most %v",
		float64(lost)/runs, float64(probes)/runs, slowest)
	if got := float64(lost) / runs; got > maxLost {
		t.Errorf("%.2f lost requests per period, limit %.1f", got, maxLost)
	}
	if got := float64(probes) / runs; got > maxProbes {
		t.Errorf("%.2f probes per period, limit %.1f", got, maxProbes)
	}
	if slowest > _suspicionTTL {
		t.Errorf("trusted again after %v", slowest)
	}
}

// TestAdmits checks which requests a suspected instance gets.
func TestAdmits(t *testing.T) {
	const failedAt = time.Second
	suspected := Model{}.Update(ResultMsg{At: failedAt, Failed: true})
	succeeded := ResultMsg{At: failedAt + time.Second, StartedAt: failedAt}
	startedBefore := ResultMsg{At: failedAt + time.Second, StartedAt: failedAt - 1}
	cases := []struct {
		name string
		m    Model
		r    Request
		want bool
	}{
		{"trusted", Model{}, Request{Once: true}, true},
		{"not idempotent", suspected, Request{At: failedAt + time.Second, Once: true}, false},
		{"too soon", suspected, Request{At: failedAt + _firstProbeDelay/2}, false},
		{"probe", suspected, Request{At: failedAt + _firstProbeDelay}, true},
		{"second concurrent probe", suspected, Request{At: failedAt + _firstProbeDelay, Probes: 1}, false},
		{"suspicion expired", suspected, Request{At: failedAt + _suspicionTTL, Once: true}, true},
		{"one success", suspected.Update(succeeded), Request{At: failedAt + _firstProbeDelay, Once: true}, false},
		{"two successes", suspected.Update(succeeded).Update(succeeded), Request{At: failedAt, Once: true}, true},
		{"two successes that started before the failure", suspected.Update(startedBefore).Update(startedBefore), Request{At: failedAt, Once: true}, false},
		{"probe failed", suspected.Update(ResultMsg{At: failedAt, Failed: true}), Request{At: failedAt + _nextProbeDelay - 1}, false},
		{"probe failed, others full", suspected.Update(ResultMsg{At: failedAt, Failed: true}), Request{At: failedAt + _nextProbeDelay/2, OthersFull: true}, true},
		{"two probes outlived the failures", suspected.Update(OutlivedMsg{}).Update(OutlivedMsg{}), Request{At: failedAt, Once: true}, true},
		{"restarted", suspected.Update(RestartMsg{}), Request{At: failedAt, Once: true}, true},
	}
	for _, c := range cases {
		if got := c.m.Admits(c.r); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestRepeatedPartialFailures checks an instance that quickly fails 90% of its requests
// for 9 of every 30 seconds. Each period may cost one retry per two seconds and two
// more at its start, and the instance must be trusted again soon after it.
func TestRepeatedPartialFailures(t *testing.T) {
	const (
		interval, period = 30 * time.Second, 9 * time.Second
		periods          = 200
		rate             = 12.0
		failLatency      = 2 * time.Millisecond
		latency          = 500 * time.Millisecond
		maxProbes        = 2 + 9.0/2
		// Half of _nextProbeDelay on average, plus one or two requests.
		maxUntrusted = 1500 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(4, 4))
	var m Model
	probes := 0
	var untrusted time.Duration
	var outlived []time.Duration // when running probes outlive the failures
	for p := range periods {
		begin := time.Duration(p) * interval
		trusted := time.Duration(0)
		for at := begin; at < begin+interval; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			for len(outlived) > 0 && outlived[0] <= at {
				m = m.Update(OutlivedMsg{At: outlived[0]})
				outlived = outlived[1:]
			}
			if trusted == 0 && at >= begin+period && !m.Suspects(at) {
				trusted = at - begin - period
			}
			if !m.Admits(Request{At: at, Once: rng.IntN(2) > 0, Probes: len(outlived)}) {
				continue
			}
			probe := m.Suspects(at)
			switch {
			case at < begin+period && rng.Float64() < 0.9:
				if probe {
					probes++
				}
				m = m.Update(ResultMsg{At: at, Failed: true, Latency: failLatency, StartedAt: at})
			case probe:
				if !m.Outlives(latency) || m.Outlives(failLatency) {
					t.Fatal("Outlives does not tell a running request from a failure")
				}
				outlived = append(outlived, at+_minOutlived)
			default:
				m = m.Update(ResultMsg{At: at, StartedAt: at})
			}
		}
		untrusted += trusted
	}
	t.Logf("%.2f probes per period; trusted again after %v on average", float64(probes)/periods, untrusted/periods)
	if got := float64(probes) / periods; got > maxProbes {
		t.Errorf("%.2f probes per period, limit %.1f", got, maxProbes)
	}
	if got := untrusted / periods; got > maxUntrusted {
		t.Errorf("trusted again after %v on average", got)
	}
}
