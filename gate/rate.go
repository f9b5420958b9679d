package gate

import "time"

// _burstTime is the time whose share of a rate may start at once after a pause.
const _burstTime = time.Second

// rate limits how many attempts start per second. The zero value sets no limit.
type rate struct {
	perSecond float64
	tokens    float64 // attempts that may start, at the time at
	at        time.Duration
}

// withLimit returns the rate with another limit, or without one if it is 0. A new limit
// begins without tokens, since the instance has just had requests.
func (r rate) withLimit(perSecond float64, at time.Duration) rate {
	if r.perSecond == perSecond {
		return r
	}
	tokens := 0.0
	if r.perSecond > 0 {
		tokens = min(r.available(at), burst(perSecond))
	}
	return rate{perSecond: perSecond, tokens: tokens, at: at}
}

// allows reports whether an attempt may start.
func (r rate) allows(at time.Duration) bool {
	return r.perSecond == 0 || r.available(at) >= 1
}

// withStart returns the rate after an attempt has started.
func (r rate) withStart(at time.Duration) rate {
	if r.perSecond > 0 {
		r.tokens, r.at = r.available(at)-1, at
	}
	return r
}

// interval returns the time between two starts, or 0 without a limit.
func (r rate) interval() time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}

// wait returns when one more attempt may start after a number of others.
func (r rate) wait(ahead int, at time.Duration) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	return max(0, time.Duration((float64(ahead+1)-r.available(at))*float64(r.interval())))
}

func (r rate) available(at time.Duration) float64 {
	return min(burst(r.perSecond), r.tokens+r.perSecond*(at-r.at).Seconds())
}

func burst(perSecond float64) float64 {
	return max(1, perSecond*_burstTime.Seconds())
}

// setMaxRate limits the rate at which an instance gets attempts.
func (m Model) setMaxRate(msg MaxRateMsg) []Cmd {
	i := m.instances[msg.ID]
	if i == nil {
		return nil
	}
	i.rate = i.rate.withLimit(msg.PerSecond, msg.At)
	return m.fill(i, msg.At)
}

// LimitedFor returns how long an instance's rate leaves no room for another attempt, or 0.
func (m Model) LimitedFor(id string, at time.Duration) time.Duration {
	i := m.instances[id]
	if i == nil {
		return 0
	}
	return i.rate.wait(i.queue.len(), at)
}
