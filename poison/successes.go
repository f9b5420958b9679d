package poison

import "time"

const (
	_maxSuccesses = 4096
	_successTTL   = 5 * time.Minute
)

// RecentSuccesses records the fingerprints of requests that recently completed at
// the node that owns an instance. They are not suspected of a crash during which they
// were in flight.
type RecentSuccesses struct {
	seen  map[uint64]time.Duration
	order []uint64
}

// NewRecentSuccesses returns an empty set.
func NewRecentSuccesses() *RecentSuccesses {
	return &RecentSuccesses{seen: map[uint64]time.Duration{}}
}

// Add records that a request with the fingerprint completed.
func (r *RecentSuccesses) Add(fingerprint uint64, at time.Duration) {
	if _, known := r.seen[fingerprint]; !known {
		r.order = append(r.order, fingerprint)
	}
	r.seen[fingerprint] = at
	if len(r.order) > _maxSuccesses {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
}

// Suspects returns the fingerprints that have not recently completed.
func (r *RecentSuccesses) Suspects(fingerprints []uint64, at time.Duration) []uint64 {
	var suspects []uint64
	for _, fingerprint := range fingerprints {
		last, known := r.seen[fingerprint]
		if !known || at >= last+_successTTL {
			suspects = append(suspects, fingerprint)
		}
	}
	return suspects
}
