package ctrl

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/view"
)

// WatchEvent is a line of a watch stream: a changed service, the name of a deleted
// one, or a snapshot of all services if older changes are no longer available.
type WatchEvent struct {
	Rev      uint64                  `json:"rev"`
	Service  *view.VersionedService  `json:"service,omitempty"`
	Deleted  string                  `json:"gone,omitempty"`
	Snapshot []view.VersionedService `json:"snapshot,omitempty"`
}

// watch streams the changes of services after a revision as JSON lines.
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
		list, rev := s.watchEvents(from)
		from = rev
		for _, event := range list {
			if err := encoder.Encode(event); err != nil {
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

// watchEvents returns the events after a revision, and the revision that they lead up
// to.
func (s *Server) watchEvents(from uint64) ([]WatchEvent, uint64) {
	var list []WatchEvent
	rev := from
	s.replica.Read(func(m store.Model) {
		v := m.View()
		if v.Rev <= from {
			return
		}
		rev = v.Rev
		events, ok := m.Since(from)
		if !ok {
			list = []WatchEvent{{Rev: v.Rev, Snapshot: v.Services()}}
			return
		}
		for _, e := range events {
			list = appendWatchEvent(list, e)
		}
	})
	return list, rev
}

func appendWatchEvent(list []WatchEvent, e view.Event) []WatchEvent {
	switch c := e.Change.(type) {
	case view.ServicePut:
		return append(list, WatchEvent{Rev: e.Rev, Service: &view.VersionedService{Service: c.Service, Rev: e.Rev}})
	case view.ServiceDeleted:
		return append(list, WatchEvent{Rev: e.Rev, Deleted: c.Name})
	}
	return list
}
