package ctrl

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// Note is one line of a watch: a changed service, a deleted one, or first of
// all the services at a revision.
type Note struct {
	Rev      uint64                  `json:"rev"`
	Service  *view.VersionedService  `json:"service,omitempty"`
	Gone     string                  `json:"gone,omitempty"`
	Snapshot []view.VersionedService `json:"snapshot,omitempty"`
}

// watch streams the changes of services after a revision, a JSON line each.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{
			Code: "invalid", Field: "from",
			Message: "value " + strconv.Quote(r.URL.Query().Get("from")) + ": want a revision",
		})
		return
	}
	w.Header().Set("Content-Type", "application/jsonlines")
	w.WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	for {
		changed := s.replica.Changed()
		notes, rev := s.notes(from)
		from = rev
		for _, n := range notes {
			if err := encoder.Encode(n); err != nil {
				return
			}
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

// notes returns what a watcher at a revision has to hear, and up to where.
func (s *Server) notes(from uint64) ([]Note, uint64) {
	var notes []Note
	rev := from
	s.replica.Read(func(m store.Model) {
		v := m.View()
		if v.Rev <= from {
			return
		}
		rev = v.Rev
		events, ok := m.Since(from)
		if !ok {
			notes = []Note{{Rev: v.Rev, Snapshot: v.Services()}}
			return
		}
		for _, e := range events {
			notes = appendNote(notes, e)
		}
	})
	return notes, rev
}

func appendNote(notes []Note, e view.Event) []Note {
	switch c := e.Change.(type) {
	case view.ServicePut:
		return append(notes, Note{Rev: e.Rev, Service: &view.VersionedService{Service: c.Service, Rev: e.Rev}})
	case view.ServiceDeleted:
		return append(notes, Note{Rev: e.Rev, Gone: c.Name})
	}
	return notes
}
