package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _departureTimeout is how long the control hosts may take to record that an instance
	// leaves, and _entrustTimeout how long other nodes may then take. An instance waits a
	// second for the reply.
	_departureTimeout = 500 * time.Millisecond
	_entrustTimeout   = 300 * time.Millisecond
	// _custodians is how many other nodes keep a departure while the control hosts do not
	// reply, and _maxCustody how many departures a node keeps.
	_custodians = 3
	_maxCustody = 1000
)

// errDepartureNotRecorded means that nothing outside this process remembers that an
// instance leaves.
var errDepartureNotRecorded = errors.New("the departure could not be recorded")

// confirmDeparture replies to an instance that has said that it leaves, once that is
// recorded where it outlives this process. Otherwise the instance is told that it is not
// confirmed; it gets no new requests from this process in either case.
func (s *Server) confirmDeparture(w http.ResponseWriter, r *http.Request, id string, born int64) bool {
	if s.isRecordedDeparture(id, born) {
		return true
	}
	started := s.now()
	err := s.recordDeparture(r.Context(), view.Key{Node: s.cfg.Settings.Name, ID: id}, born)
	s.log.Info("departure of an instance", slog.String("instance", id), slog.Int64("born", born),
		slog.Duration("took", s.now()-started), slog.Any("error", err))
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures[id] = max(s.departures[id], born)
	return true
}

// recordDeparture records that an instance leaves: at the control hosts, or while they do
// not reply at other nodes. A start of 0 cannot be told from a later one, and is not
// recorded.
func (s *Server) recordDeparture(ctx context.Context, key view.Key, born int64) error {
	if born == 0 {
		return nil
	}
	err := s.submitDeparture(ctx, key, born)
	if err == nil {
		return nil
	}
	i, known := s.localInstance(key.ID)
	if !known {
		return errors.Mark(err, errDepartureNotRecorded)
	}
	rumor := proto.Rumor{Member: s.member(), Timestamp: uint64(s.now().Milliseconds()), Instance: i.WithLeaving()}
	if s.entrust(ctx, rumor) == 0 {
		return errors.Mark(err, errDepartureNotRecorded)
	}
	s.keepCustody(rumor)
	return nil
}

// localInstance returns an instance on this host.
func (s *Server) localInstance(id string) (view.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backends[id]
	if b == nil {
		return view.Instance{}, false
	}
	return b.instance, true
}

// submitDeparture records a departure at the control hosts.
func (s *Server) submitDeparture(ctx context.Context, key view.Key, born int64) error {
	ctx, cancel := context.WithTimeout(ctx, _departureTimeout)
	defer cancel()
	if _, err := s.submit(ctx, place.FleetGroup, store.RecordDeparture{Key: key, Born: born}); err != nil {
		return errors.Errorf("record departure: %w", err)
	}
	return nil
}

// entrust sends a departure to other nodes and returns how many have it.
func (s *Server) entrust(ctx context.Context, rumor proto.Rumor) int {
	ctx, cancel := context.WithTimeout(ctx, _entrustTimeout)
	defer cancel()
	var peers []string
	if !s.viewSync.withModel(ctx, func(m gossip.Model) { peers = m.RandomPeers(_custodians, "") }) {
		return 0
	}
	var kept atomic.Int64
	var calls sync.WaitGroup
	for _, peer := range peers {
		calls.Go(func() {
			if _, err := s.client.Call(ctx, peer, proto.Entrust{Rumor: rumor}); err == nil {
				kept.Add(1)
			}
		})
	}
	calls.Wait()
	s.log.Info("departure entrusted to other nodes", slog.String("instance", rumor.Instance.ID),
		slog.Int64("kept", kept.Load()), slog.Int("asked", len(peers)))
	return int(kept.Load())
}

// acceptDeparture keeps a departure for another node.
func (s *Server) acceptDeparture(ctx context.Context, rumor proto.Rumor) error {
	if _, left := rumor.Departure(); !left || s.isStopping() {
		return errDepartureNotRecorded
	}
	s.viewSync.addRumor(ctx, rumor)
	s.keepCustody(rumor)
	return ctx.Err()
}

// keepCustody keeps a departure until the control hosts have recorded it.
func (s *Server) keepCustody(rumor proto.Rumor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.custody = append(s.custody, rumor)
	s.custody = s.custody[max(0, len(s.custody)-_maxCustody):]
}

// submitCustody records the departures that this node keeps at the control hosts, once
// these reply.
func (s *Server) submitCustody(ctx context.Context) {
	s.mu.Lock()
	kept := s.custody
	s.custody = nil
	s.mu.Unlock()
	for n, rumor := range kept {
		err := s.submitDeparture(ctx, rumor.Key(), rumor.Instance.Born)
		if err != nil {
			s.mu.Lock()
			s.custody = append(kept[n:len(kept):len(kept)], s.custody...)
			s.mu.Unlock()
			return
		}
		s.log.Info("kept departure recorded", slog.String("node", rumor.Member.Node), slog.String("instance", rumor.Instance.ID))
	}
}

// isRecordedDeparture reports whether the departure of this start of an instance is known
// to be recorded.
func (s *Server) isRecordedDeparture(id string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasLeftLocked(id, born)
}

func (s *Server) hasLeftLocked(id string, born int64) bool {
	return born > 0 && born <= s.departures[id]
}

// learnDepartures drains the instances that have said to an earlier process of this node
// that they leave. Their grace period has ended.
func (s *Server) learnDepartures(recorded map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures = recorded
	for id, b := range s.backends {
		if !b.instance.Leaving && s.hasLeftLocked(id, b.instance.Born) {
			s.log.Info("instance has left an earlier process of this node", slog.String("instance", id), slog.Int64("born", b.instance.Born))
			s.leaveLocked(b, 0)
		}
	}
}
