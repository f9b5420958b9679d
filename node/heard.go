package node

import (
	"maps"
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// _heardMemory is how long an ingress remembers an instance's notice. An instance that
// leaves ends some seconds after it has said so.
const _heardMemory = 5 * time.Minute

// heardNotices are the last notices of instances in responses to this ingress. They hold
// even if the instances' owners have restarted and do not know them.
type heardNotices map[view.Key]heardNotice

// heardNotice is the notice of one start of an instance, and until when it is remembered.
type heardNotice struct {
	notice
	born  int64
	until time.Duration
}

// with returns the notices with that of an instance replaced and the old ones dropped. An
// instance that has said that it leaves does so until it starts again.
func (h heardNotices) with(c route.Candidate, n notice, at time.Duration) heardNotices {
	old, known := h[c.Key]
	known = known && old.born == c.Born
	n.leaving = n.leaving || known && old.leaving
	if !known && n == (notice{}) {
		return h
	}
	next := maps.Clone(h)
	if next == nil {
		next = heardNotices{}
	}
	maps.DeleteFunc(next, func(_ view.Key, old heardNotice) bool { return at >= old.until })
	delete(next, c.Key)
	if n != (notice{}) {
		next[c.Key] = heardNotice{notice: n, born: c.Born, until: at + _heardMemory}
	}
	return next
}

// of returns the notice of an instance, or the zero value if there is none.
func (h heardNotices) of(c route.Candidate) notice {
	if heard, ok := h[c.Key]; ok && heard.born == c.Born {
		return heard.notice
	}
	return notice{}
}

// exclude marks the instances in the list that have said that they leave.
func (h heardNotices) exclude(list []route.Candidate) []route.Candidate {
	for i, c := range list {
		list[i].Excluded = c.Excluded || h.of(c).leaving
	}
	return list
}

// recordNotice remembers what an instance has said about itself in its response, and keeps
// further requests away from one that leaves.
func (e *exchange) recordNotice(res *attemptResult) {
	if res.response == nil || res.execution != retry.Executed {
		return // the owner's response, which tells nothing of the instance
	}
	n, ok := e.server.headers.parseNotice(res.response.Header)
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	if !ok {
		n.maxRate = e.service.heard.of(res.choice.Candidate).maxRate
	}
	e.service.heard = e.service.heard.with(res.choice.Candidate, n, e.server.now())
	if n.leaving {
		e.service.pool = e.service.pool.WithExcluded(res.choice.Candidate.Key)
	}
}

// maxRateHint returns the limit that an instance has named to this ingress as text for a
// header, or an empty string.
func (e *exchange) maxRateHint(c route.Candidate) string {
	e.service.mu.Lock()
	defer e.service.mu.Unlock()
	rate := e.service.heard.of(c).maxRate
	if rate == 0 {
		return ""
	}
	return strconv.FormatFloat(rate, 'f', -1, 64)
}

// adoptMaxRate limits an instance to the rate that it has named to an ingress, until it
// responds for the first time since its announcement to this owner.
func (s *Server) adoptMaxRate(id, hint string) {
	rate, ok := parseRate(hint)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || b.responded || b.notice.maxRate > 0 {
		return
	}
	b.notice.maxRate = rate
	s.updateGateLocked(gate.MaxRateMsg{ID: id, PerSecond: rate, At: s.now()})
}
