package node

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/strict"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _reportLease is long enough to survive three late or lost reports.
	_reportLease = 8 * time.Second
	_maxWarmup   = 10 * time.Minute
	_maxSlots    = 10000
	// _maxSequence leaves room for sequences that are times in nanoseconds. The largest
	// number would keep out all later reports.
	_maxSequence = 1 << 62
	// _maxClockSkew is how far an instance's clock may be ahead of this node's. A start
	// far in the future would keep out the sound instance at that address.
	_maxClockSkew = 10 * time.Minute
)

// State is the state that an instance reports.
type State string

const (
	// Ready instances accept new requests.
	Ready State = "ready"
	// Leaving instances only finish the requests that they have.
	Leaving State = "leaving"
)

// Report is the status that an instance sends regularly. Reports may be late or
// duplicated: the report of the latest start applies, and of one start that with the
// greatest sequence.
type Report struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// Warm is the remaining time of the instance's warmup.
	Warm     spec.Duration `json:"warm"`
	Sequence *int64        `json:"sequence"`
	// Born is the start time, in milliseconds of the instance's clock, or 0.
	Born int64 `json:"born"`
}

// ParseReport decodes and validates a report of the instance with the given ID.
func ParseReport(id string, r io.Reader) (Report, error) {
	var p Report
	data, err := io.ReadAll(r)
	if err == nil {
		err = strict.JSON(data, &p)
	}
	if err != nil {
		return p, errors.Mark(errors.Errorf("read report: %w", err), spec.ErrInvalid)
	}
	return p, p.check(id)
}

func (p Report) check(id string) error {
	switch {
	case p.State != Ready && p.State != Leaving:
		return &spec.FieldError{Field: "Report.state", Value: string(p.State), Want: "ready or leaving"}
	case p.Slots < 1 || p.Slots > _maxSlots:
		return &spec.FieldError{Field: "Report.slots", Value: strconv.Itoa(p.Slots), Want: "1 to 10000"}
	case p.Warm < 0 || p.Warm.Std() > _maxWarmup:
		return &spec.FieldError{Field: "Report.warm", Value: p.Warm.String(), Want: "0s to 10m"}
	case p.Sequence == nil || *p.Sequence < 0 || *p.Sequence > _maxSequence:
		return &spec.FieldError{Field: "Report.sequence", Want: "a number from 0 to 2^62"}
	case p.Born < 0:
		return &spec.FieldError{Field: "Report.born", Value: strconv.FormatInt(p.Born, 10), Want: "0 or more"}
	}
	return p.instance(id).Check()
}

// checkBorn returns an error for a start that is in the future.
func (p Report) checkBorn(now time.Time) error {
	if p.Born > now.Add(_maxClockSkew).UnixMilli() {
		return &spec.FieldError{Field: "Report.born", Value: strconv.FormatInt(p.Born, 10), Want: "a time in the past, in milliseconds"}
	}
	return nil
}

func (p Report) instance(id string) view.Instance {
	return view.Instance{ID: id, Service: p.Service, Addr: p.Addr, Born: p.Born, Slots: p.Slots}
}

// lastReport identifies the newest report of an instance.
type lastReport struct {
	born      int64
	sequence  int64
	withdrawn bool // the instance was withdrawn with a DELETE request
}

// isBefore reports whether the last report is older than p.
func (l lastReport) isBefore(p Report) bool {
	if p.Born != l.born {
		return p.Born > l.born
	}
	return *p.Sequence > l.sequence
}

// putInstance handles an instance's report.
func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	p, err := ParseReport(id, http.MaxBytesReader(w, r.Body, _maxAnnouncement))
	if err == nil {
		err = p.checkBorn(time.Now())
	}
	if err != nil {
		s.log.Warn("invalid instance report", slog.String("instance", id), slog.Any("error", err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.handleReport(id, p)
	if p.State == Leaving && !s.confirmDeparture(w, r, id, p.Born) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// deleteInstance withdraws an instance that is about to end.
func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	born := s.withdraw(id, time.Now())
	if !s.confirmDeparture(w, r, id, born) {
		return
	}
	w.WriteHeader(http.StatusOK)
}

// withdraw takes an instance out of service and returns its start. Of an instance that this
// process does not know, that is any start until now.
func (s *Server) withdraw(id string, now time.Time) int64 {
	s.mu.Lock()
	last, known := s.lastReports[id]
	if b := s.backends[id]; !known && b != nil {
		last.born = b.instance.Born
	} else if !known {
		last.born = now.UnixMilli()
	}
	last.withdrawn = true
	s.lastReports[id] = last
	s.mu.Unlock()
	s.drainInstance(id)
	return last.born
}

// handleReport applies a report unless it is outdated.
func (s *Server) handleReport(id string, p Report) {
	if !s.acceptReport(id, p) {
		s.log.Info("outdated instance report", slog.String("instance", id), slog.Int64("born", p.Born), slog.Int64("sequence", *p.Sequence))
		return
	}
	i := p.instance(id)
	if p.State == Leaving && s.serviceOf(id) == "" {
		i = i.WithLeaving()
	}
	s.removeReplaced(i)
	s.registerInstance(i, _reportLease)
	if p.State == Leaving {
		s.drainInstance(id)
	}
}

// acceptReport records a report and reports whether to apply it: it is the newest of
// its instance, and no newer instance uses its address. An instance that was withdrawn
// stays so until it restarts.
func (s *Server) acceptReport(id string, p Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, b := range s.backends {
		if other != id && b.instance.Addr == p.Addr && b.instance.Born > p.Born {
			return false
		}
	}
	last, known := s.lastReports[id]
	if known && !last.isBefore(p) {
		return false
	}
	withdrawn := known && last.withdrawn && p.Born == last.born ||
		p.State == Ready && s.backends[id] == nil && s.hasLeftLocked(id, p.Born)
	s.lastReports[id] = lastReport{born: p.Born, sequence: *p.Sequence, withdrawn: withdrawn}
	return !withdrawn
}

// removeReplaced removes the instances that an instance replaces: an earlier start of
// it, and others at its address.
func (s *Server) removeReplaced(i view.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.backends {
		restarted := id == i.ID && b.instance.Born < i.Born
		sameAddr := id != i.ID && b.instance.Addr == i.Addr
		if restarted || sameAddr {
			s.log.Info("instance replaced", slog.String("instance", id), slog.String("by", i.ID))
			s.removeLocked(b)
		}
	}
}

// serveReady answers readiness checks: a node is ready once it has declarations,
// until it stops.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.isStopping():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !s.fleet.hasDeclarations():
		http.Error(w, "nothing is declared yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
