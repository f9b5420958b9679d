package node

import (
	"maps"
	"time"
)

// _minHold and _maxHold bound how long an ingress holds off a request that has crashed
// two backend servers, until the fleet-wide ban is in effect. The crashes are forgotten
// _maxHold after the latest one or the end of its hold.
const (
	_minHold = 2 * time.Second
	_maxHold = time.Minute
)

// hold counts the crashes that this ingress has seen since such a request last completed,
// and keeps off requests with a fingerprint.
type hold struct {
	crashes int
	at      time.Time // of the last crash that counted
	length  time.Duration
}

// until returns when requests are no longer kept off.
func (h hold) until() time.Time { return h.at.Add(h.length) }

// forgotten reports whether the crashes no longer count.
func (h hold) forgotten(now time.Time) bool {
	return now.After(h.until().Add(_maxHold))
}

// crashed records that an instance crashed while it ran an attempt that began at a given
// time, as the nth crash within one request. From the second crash on, requests are kept
// off, longer each time. The first within a request counts only if the attempt began after
// the last crash: a popular request is in flight at many instances when several crash for
// a reason of their own.
func (b *bans) crashed(fingerprint uint64, began time.Time, nth int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweepHoldsLocked(now)
	h := b.holds[fingerprint]
	if h.forgotten(now) {
		h = hold{}
	}
	if nth == 1 && !began.After(h.at) {
		return
	}
	h.crashes = max(h.crashes+1, nth)
	h.at = now
	if h.crashes >= _maxCrashes {
		h.length = min(max(_minHold, 2*h.length), _maxHold)
	}
	if b.holds == nil {
		b.holds = map[uint64]hold{}
	}
	b.holds[fingerprint] = h
}

// sweepHoldsLocked drops what is forgotten, at most once in _minHold: a crash may end
// thousands of requests at once.
func (b *bans) sweepHoldsLocked(now time.Time) {
	if now.Before(b.sweepAt) {
		return
	}
	b.sweepAt = now.Add(_minHold)
	maps.DeleteFunc(b.holds, func(_ uint64, h hold) bool { return h.forgotten(now) })
}

// release forgets the crashes that this ingress has seen: such a request has completed.
func (b *bans) release(fingerprint uint64) {
	b.mu.RLock()
	_, held := b.holds[fingerprint]
	b.mu.RUnlock()
	if !held {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holds, fingerprint)
}
