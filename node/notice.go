package node

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
)

// _minRate is the lowest rate at which an instance gets requests, in requests per second.
// Without any response, nobody would learn that its limit has ended.
const _minRate = 0.25

// notice is what a backend server says about itself in a response.
type notice struct {
	maxRate float64 // requests per second, or 0 for no limit
	leaving bool
}

// parseNotice reads the notice in the header of a response. It returns false if the rate
// is not a number of 0 or more; the rest of the notice holds.
func (h Headers) parseNotice(header http.Header) (notice, bool) {
	var n notice
	if h.Leaving != "" {
		n.leaving = header.Get(h.Leaving) == "1"
	}
	text := ""
	if h.MaxRate != "" {
		text = header.Get(h.MaxRate)
	}
	if text == "" {
		return n, true
	}
	var ok bool
	n.maxRate, ok = parseRate(text)
	return n, ok
}

// parseRate reads a limit in requests per second. It returns false if the text is not a
// number of 0 or more.
func parseRate(text string) (float64, bool) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return max(rate, _minRate), true
}

// observeNotice acts on what an instance says about itself in its response to an attempt.
// Its own node limits the rate, since all requests pass it.
func (s *Server) observeNotice(id string, ref ledger.Ref, header http.Header) {
	n, ok := s.headers.parseNotice(header)
	if !ok {
		s.log.Warn("ignored the limit of an instance", slog.String("instance", id), slog.String("value", header.Get(s.headers.MaxRate)))
		n.maxRate = s.noticedMaxRate(id)
	}
	if s.recordNotice(id, ref, n) && n.leaving {
		s.drainInstance(id)
	}
}

// observeRefusal is observeNotice for a response that refuses an attempt. A refusal without
// a notice takes none back.
func (s *Server) observeRefusal(id string, ref ledger.Ref, header http.Header) {
	if n, ok := s.headers.parseNotice(header); ok && n != (notice{}) {
		s.observeNotice(id, ref, header)
	}
}

// noticedMaxRate returns the limit that an instance has last named, or 0.
func (s *Server) noticedMaxRate(id string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.backends[id]; b != nil {
		return b.notice.maxRate
	}
	return 0
}

// recordNotice records an instance's notice and reports whether it is new. A response of
// an earlier start of the instance says nothing about this one.
func (s *Server) recordNotice(id string, ref ledger.Ref, n notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || b.inFlight[ref] == nil {
		return false
	}
	b.responded = true
	if b.notice == n {
		return false
	}
	s.log.Info("instance notice", slog.String("instance", id), slog.Float64("max_rate", n.maxRate),
		slog.Float64("max_rate_before", b.notice.maxRate), slog.Bool("leaving", n.leaving))
	b.notice = n
	s.updateGateLocked(gate.MaxRateMsg{ID: id, PerSecond: n.maxRate, At: s.now()})
	return true
}
