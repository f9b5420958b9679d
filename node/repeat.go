package node

import (
	"log/slog"
	"strconv"
)

// _likelyRepeat is the likelihood above which a request is treated as a repeat.
const _likelyRepeat = 0.5

// repeatShare returns the likelihood that the attempt is a repeat: it is one itself, or a
// run that was one has made the request as a call.
func (j *job) repeatShare() float64 {
	if j.r.Header.Get(_headerRetry) != "" {
		return 1
	}
	share, err := strconv.ParseFloat(j.r.Header.Get(_headerRepeatShare), 64)
	if err != nil || !(share > 0) || !j.isCall() {
		return 0
	}
	return min(share, 1)
}

// isCall reports whether the request comes from a backend server, as far as known.
func (j *job) isCall() bool {
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls.IsInternal(j.r.Header.Get(_headerRoute))
}

// takeRetryBudget takes a likely repeat from the instance's retry budget and reports whether
// the budget allows it. Any other request adds to the budget, less its share of a repeat.
func (s *Server) takeRetryBudget(id string, share float64) bool {
	quota, ok := s.retryQuota()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil || !ok {
		return true
	}
	if share <= _likelyRepeat {
		b.retryBudget = b.retryBudget.AddCall(quota(b.instance.Service), s.now(), share)
		return true
	}
	var granted bool
	b.retryBudget, granted = b.retryBudget.TakeRetry(quota(b.instance.Service), s.now())
	return granted
}

// recordRepeatShare records the likelihood that a run is a repeat, which its calls inherit.
func (s *Server) recordRepeatShare(w *work, share float64) {
	if share == 0 {
		return
	}
	s.mu.Lock()
	w.repeatShare = share
	s.mu.Unlock()
	if share > _likelyRepeat {
		s.stats.repeats.Inc(1)
	}
	s.log.Info("repeat sent to the instance", slog.String("request", w.request), slog.Float64("likelihood", share))
}

// callRepeatShare returns the likelihood that a run which is itself a repeat makes a
// request that arrives here, if it is a call to a service: the share of repeats in the runs of
// this host's instances. The request doesn't tell which of them makes it.
func (s *Server) callRepeatShare(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, repeats := 0, 0.0
	for _, b := range s.backends {
		if b.instance.Service == service {
			continue
		}
		for _, w := range b.inFlight {
			runs++
			repeats += w.repeatShare
		}
	}
	return repeats / float64(max(runs, 1))
}
