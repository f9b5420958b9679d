package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/origin"
)

// acknowledge tells the ingress that the attempt has arrived, unless an immediate
// refusal does. The ingress treats an unacknowledged attempt as lost in transit. The
// commands may refuse another attempt, which makes room in a full queue.
func (j *job) acknowledge(cmds []gate.Cmd) {
	for _, cmd := range cmds {
		if refusal, refused := cmd.(gate.RefuseCmd); refused && refusal.Ref == j.ref {
			return
		}
	}
	j.w.WriteHeader(http.StatusProcessing)
}

// fairShareKey returns the key by which queued attempts share the slots fairly, which
// is the caller. It is empty for an attempt with a target time, which is queued by
// that.
func (j *job) fairShareKey() string {
	if j.r.Header.Get(_headerTarget) != "" {
		return ""
	}
	return j.r.Header.Get(HeaderCaller)
}

// maxWait returns how long the attempt may wait for a slot at this instance.
func (j *job) maxWait() time.Duration {
	limit := time.Duration(_maxQueueShare * float64(j.timeLeft))
	return min(limit, j.headerMillis(_headerMaxWait, limit))
}

// waitLeft returns how long the attempt may wait for a slot at this instance and
// others together.
func (j *job) waitLeft() time.Duration {
	limit := time.Duration(_maxQueueShare * float64(j.timeLeft))
	return min(limit, j.headerMillis(_headerWaitLeft, limit))
}

// headerMillis returns the duration in a header, or the fallback if it has none.
func (j *job) headerMillis(header string, fallback time.Duration) time.Duration {
	if d, ok := parseMillis(j.r.Header.Get(header)); ok && d > 0 {
		return d
	}
	return fallback
}

// targetStart returns the time by which the attempt must start to meet its target, or
// 0 if it has none.
func (j *job) targetStart() time.Duration {
	target, ok := parseMillis(j.r.Header.Get(_headerTarget))
	if !ok {
		return 0
	}
	hint, _ := parseHint(j.r.Header.Get(_headerHint))
	return j.server.now() + target - hint.Median
}

// headerInt returns the number in a header, or 0.
func (j *job) headerInt(header string) int {
	n, err := strconv.Atoi(j.r.Header.Get(header))
	if err != nil {
		return 0
	}
	return n
}

// priority returns the priority of the attempt. A call of a running request names no
// customer, and its route's priority cannot be compared with those of customers: it takes
// the highest, since a request that holds a slot waits for it.
func (j *job) priority(nested bool) int {
	priority := j.headerInt(_headerPriority)
	if nested && j.r.Header.Get(_headerCustomer) == "" && j.server.fleet.customerTable() != nil {
		return min(priority, 0)
	}
	return priority
}

// admit asks the gate to admit the attempt and waits for the decision.
func (j *job) admit(ctx context.Context) gate.Cmd {
	s := j.server
	decided := make(chan gate.Cmd, 1)
	s.mu.Lock()
	_, duplicate := s.waiting[j.ref]
	if !duplicate {
		s.waiting[j.ref] = decided
	}
	route := j.r.Header.Get(_headerRoute)
	s.calls = s.calls.Update(origin.RequestMsg{Route: route, Origin: j.r.Header.Get(_headerCallerService)})
	cmds := s.updateGateLocked(j.admitMsg(s.calls.IsInternal(route)))
	for _, cmd := range cmds {
		if duplicateCmd, ok := cmd.(gate.DuplicateCmd); ok {
			if !duplicate {
				delete(s.waiting, j.ref)
			}
			s.mu.Unlock()
			return duplicateCmd
		}
	}
	if len(cmds) == 0 {
		s.tickWithinLocked(_tickInterval) // the attempt is queued
	}
	s.mu.Unlock()
	j.acknowledge(cmds)
	select {
	case cmd := <-decided:
		return cmd
	case <-ctx.Done():
		s.updateGate(gate.RevokeMsg{ID: j.instance, Ref: j.ref, At: s.now()})
		return <-decided
	}
}

// admitMsg returns the message that asks the gate to admit the attempt.
func (j *job) admitMsg(nested bool) gate.AdmitMsg {
	now := j.server.now()
	return gate.AdmitMsg{
		ID:          j.instance,
		Ref:         j.ref,
		Caller:      j.fairShareKey(),
		Customer:    j.r.Header.Get(_headerCustomer),
		At:          now,
		StartBy:     min(now+j.maxWait(), j.lastStart),
		LatestStart: now + j.waitLeft(),
		NoQueue:     j.onlyIfFree(),
		Priority:    j.priority(nested),
		TargetStart: j.targetStart(),

		NoProbe:       j.noProbe(),
		BypassBreaker: j.admitsAny(),
		Nested:        nested,
	}
}
