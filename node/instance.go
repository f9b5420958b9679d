package node

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _reportLease outlives three reports that are late or lost.
	_reportLease = 8 * time.Second
	_maxWarmup   = 10 * time.Minute
	_maxSlots    = 10000
)

// State is what an instance says it does.
type State string

const (
	// Ready instances take new work.
	Ready State = "ready"
	// Leaving instances finish what they have.
	Leaving State = "leaving"
)

// Report is what an instance tells regularly of itself. Reports may be late or
// come twice: of one start the greatest sequence holds, and of two starts the
// later one.
type Report struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// Warm is how much longer the instance stays slow after its start.
	Warm     spec.Duration `json:"warm"`
	Sequence *int64        `json:"sequence"`
	// Born is when it started, in milliseconds of its own clock, or 0.
	Born int64 `json:"born"`
}

// ParseReport reads and checks an instance's report.
func ParseReport(id string, r io.Reader) (Report, error) {
	var p Report
	if err := json.NewDecoder(r).Decode(&p); err != nil {
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
	case p.Sequence == nil:
		return &spec.FieldError{Field: "Report.sequence", Want: "a number"}
	}
	return p.instance(id).Check()
}

func (p Report) instance(id string) view.Instance {
	return view.Instance{ID: id, Service: p.Service, Addr: p.Addr, Born: p.Born, Slots: p.Slots}
}

// heard is the newest report of an instance.
type heard struct {
	born     int64
	sequence int64
	left     bool // the instance was withdrawn
}

// after reports whether a report is newer than what was heard before.
func (h heard) after(p Report) bool {
	if p.Born != h.born {
		return p.Born > h.born
	}
	return *p.Sequence > h.sequence
}

// putInstance takes an instance's report.
func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	p, err := ParseReport(id, http.MaxBytesReader(w, r.Body, _maxAnnouncement))
	if err != nil {
		s.log.Warn("report refused", slog.String("instance", id), slog.Any("error", err))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.report(id, p)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}")
}

// deleteInstance lets an instance go that says it ends.
func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	h := s.heard[id]
	h.left = true
	s.heard[id] = h
	s.mu.Unlock()
	s.withdraw(id)
	w.WriteHeader(http.StatusOK)
}

// report follows a report that is newer than the last one.
func (s *Server) report(id string, p Report) {
	if !s.newer(id, p) {
		s.log.Info("old report", slog.String("instance", id), slog.Int64("born", p.Born), slog.Int64("sequence", *p.Sequence))
		return
	}
	i := p.instance(id)
	s.replace(i)
	s.announce(i, _reportLease)
	if p.State == Leaving {
		s.withdraw(id)
	}
}

// newer remembers a report and says whether it is the newest of its instance; an
// instance that was withdrawn stays so until it starts again.
func (s *Server) newer(id string, p Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, b := range s.backs {
		if other != id && b.instance.Addr == p.Addr && b.instance.Born > p.Born {
			return false
		}
	}
	h, known := s.heard[id]
	if known && !h.after(p) {
		return false
	}
	left := known && h.left && p.Born == h.born
	s.heard[id] = heard{born: p.Born, sequence: *p.Sequence, left: left}
	return !left
}

// replace drops the instances that a newer one has taken the place of.
func (s *Server) replace(i view.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.backs {
		same := id == i.ID && b.instance.Born < i.Born
		moved := id != i.ID && b.instance.Addr == i.Addr
		if same || moved {
			s.log.Info("replaced", slog.String("instance", id), slog.String("by", i.ID))
			s.dropLocked(b)
		}
	}
}

// serveReady says whether this node serves: it knows what operators declare,
// and is not about to stop.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !s.fleet.knows():
		http.Error(w, "nothing is declared yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
