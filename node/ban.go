package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_reasonBanned   = "crashes backend servers"
	_reasonDeferred = "backend servers crashed while they ran such requests"
	// _trialTimeout bounds how long a request waits for the control hosts to allow a trial.
	_trialTimeout = 500 * time.Millisecond
	// _maxTestimonyDelay spreads the reports of completed runs. Once a few have ended the
	// ban, the others are not sent.
	_maxTestimonyDelay = 200 * time.Millisecond
	// _maxRetryAfter is the time in whole seconds after which deferred callers return at the
	// latest; they are spread over that time.
	_maxRetryAfter = 2
)

// bans holds the fleet-wide bans that a node knows, and its own holds. The zero value is
// empty.
type bans struct {
	mu    sync.RWMutex
	fleet map[uint64]*fleetBan
	holds map[uint64]hold
	// sweepAt is when forgotten holds are dropped next.
	sweepAt time.Time
}

// fleetBan is a ban and when this node learned of it.
type fleetBan struct {
	poison.Ban
	receivedAt time.Time
	testifying bool // a completed run is being reported
}

// update replaces the fleet-wide bans.
func (b *bans) update(list []view.FingerprintBanned, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(list) == 0 && len(b.fleet) == 0 {
		return
	}
	fleet := make(map[uint64]*fleetBan, len(list))
	for _, banned := range list {
		known := b.fleet[banned.Fingerprint]
		if known == nil || known.Ban != banned.Ban {
			known = &fleetBan{Ban: banned.Ban, receivedAt: now}
		}
		fleet[banned.Fingerprint] = known
	}
	for fingerprint := range b.fleet {
		if fleet[fingerprint] == nil {
			delete(b.holds, fingerprint)
		}
	}
	b.fleet = fleet
}

// verdict returns what to do with a request.
func (b *bans) verdict(fingerprint uint64, now time.Time) poison.Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if banned := b.fleet[fingerprint]; banned != nil {
		if verdict := banned.Verdict(now.Sub(banned.receivedAt)); verdict != poison.Allowed {
			return verdict
		}
	}
	if now.Before(b.holds[fingerprint].until()) {
		return poison.Deferred
	}
	return poison.Allowed
}

// lookbacks returns, for each fleet-wide ban, how long ago a completed run may have ended
// to count.
func (b *bans) lookbacks(now time.Time) map[uint64]time.Duration {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make(map[uint64]time.Duration, len(b.fleet))
	for fingerprint, banned := range b.fleet {
		list[fingerprint] = now.Sub(banned.receivedAt) + banned.Lookback
	}
	return list
}

// beginTestimony reports whether a completed run is to be reported: there is a fleet-wide
// ban, and no report is under way.
func (b *bans) beginTestimony(fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	banned := b.fleet[fingerprint]
	if banned == nil || banned.testifying {
		return false
	}
	banned.testifying = true
	return true
}

// endTestimony records that a report has ended.
func (b *bans) endTestimony(fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if banned := b.fleet[fingerprint]; banned != nil {
		banned.testifying = false
	}
}

// has reports whether there is a fleet-wide ban.
func (b *bans) has(fingerprint uint64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.fleet[fingerprint] != nil
}

// refuseBanned refuses a request that is banned and reports whether it did. If a trial is
// due and the control hosts allow it, the request is served as the trial.
func (e *exchange) refuseBanned(ctx context.Context) bool {
	verdict := e.server.fleet.bans.verdict(e.fingerprint(), time.Now())
	switch verdict {
	case poison.Allowed:
		return false
	case poison.TrialDue:
		if e.trial = e.server.tryBanned(ctx, e.fingerprint()); e.trial {
			e.server.log.Info("banned request served as a trial", slog.String("request", e.id), slog.Uint64("print", e.fingerprint()))
			return false
		}
	case poison.Deferred, poison.Refused:
	}
	e.server.log.Warn("request refused because its fingerprint is banned", slog.String("request", e.id),
		slog.Uint64("print", e.fingerprint()), slog.Bool("final", verdict == poison.Refused))
	if verdict == poison.Refused {
		refuse(e.w, http.StatusUnprocessableEntity, _reasonBanned)
		return true
	}
	e.w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(_maxRetryAfter)))
	refuse(e.w, http.StatusServiceUnavailable, _reasonDeferred)
	return true
}

// maxCrashes returns how many crashes end a request.
func (e *exchange) maxCrashes() int {
	if e.trial {
		return 1
	}
	return _maxCrashes
}

// tryBanned asks the control hosts to allow a trial.
func (s *Server) tryBanned(ctx context.Context, fingerprint uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, _trialTimeout)
	defer cancel()
	result, err := s.submit(ctx, place.FleetGroup, store.TryBanned{Fingerprint: fingerprint})
	if err != nil {
		s.log.Info("trial of a banned request not allowed", slog.Uint64("print", fingerprint), slog.Any("error", err))
		return false
	}
	_, allowed := result.(store.Written)
	return allowed
}

// testifyToBans reports the completed runs that count against a fleet-wide ban.
func (s *Server) testifyToBans() {
	for fingerprint, lookback := range s.fleet.bans.lookbacks(time.Now()) {
		s.mu.Lock()
		completed := s.recentSuccesses.CompletedSince(fingerprint, s.now()-lookback)
		s.mu.Unlock()
		if completed {
			s.testifySoon(fingerprint)
		}
	}
}

// testifySoon reports a completed run to the control hosts if its fingerprint is banned.
// Each completed run is reported once.
func (s *Server) testifySoon(fingerprint uint64) {
	if !s.fleet.bans.beginTestimony(fingerprint) {
		return
	}
	go func() {
		defer s.fleet.bans.endTestimony(fingerprint)
		time.Sleep(rand.N(_maxTestimonyDelay))
		s.mu.Lock()
		reported := s.recentSuccesses.MarkReported(fingerprint)
		s.mu.Unlock()
		if reported || !s.fleet.bans.has(fingerprint) {
			return
		}
		report := store.ReportCompleted{Node: s.cfg.Settings.Name, Epoch: s.epoch.Load(), Fingerprint: fingerprint}
		_, err := s.submit(context.Background(), place.FleetGroup, report)
		s.log.Info("completed run of a banned request reported", slog.Uint64("print", fingerprint), slog.Any("error", err))
	}()
}
