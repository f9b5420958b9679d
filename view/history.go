package view

import "slices"

// History keeps the latest events, from which watchers resume without a gap.
type History struct {
	limit    int
	startRev uint64
	events   []Event
}

// NewHistory returns a history that starts after revision rev. It keeps between
// limit and 2*limit events, so that trimming is amortized.
func NewHistory(rev uint64, limit int) *History {
	return &History{limit: limit, startRev: rev}
}

// Add appends an event and trims the oldest ones when there are too many.
func (h *History) Add(e Event) {
	h.events = append(h.events, e)
	if len(h.events) <= 2*h.limit {
		return
	}
	cut := len(h.events) - h.limit
	h.startRev = h.events[cut-1].Rev
	h.events = slices.Clone(h.events[cut:])
}

// Since returns the events after a revision, or false if some were trimmed.
func (h *History) Since(rev uint64) ([]Event, bool) {
	if rev < h.startRev {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(h.events, rev+1, func(e Event, rev uint64) int {
		if e.Rev < rev {
			return -1
		}
		return 1
	})
	return h.events[at:], true
}
