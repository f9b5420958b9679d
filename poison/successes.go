package poison

import "time"

const (
	_maxSuccesses = 4096
	_successTTL   = 5 * time.Minute
)

// success is the last completed run of a request.
type success struct {
	at       time.Duration
	answered bool // it has ruled out that the request caused a crash
	reported bool // it was reported to the control hosts
}

// RecentSuccesses records the fingerprints of requests that recently completed at
// the node that owns an instance. They are not suspected of a crash during which they
// were in flight; each completed run rules out one crash only, since a request may begin
// to crash servers.
type RecentSuccesses struct {
	seen  map[uint64]success
	order []uint64
}

// NewRecentSuccesses returns an empty set.
func NewRecentSuccesses() *RecentSuccesses {
	return &RecentSuccesses{seen: map[uint64]success{}}
}

// Add records that a request with the fingerprint completed.
func (r *RecentSuccesses) Add(fingerprint uint64, at time.Duration) {
	if _, known := r.seen[fingerprint]; !known {
		r.order = append(r.order, fingerprint)
	}
	r.seen[fingerprint] = success{at: at}
	if len(r.order) > _maxSuccesses {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
}

// CompletedSince reports whether a request with the fingerprint completed after a time,
// and that run was not reported yet.
func (r *RecentSuccesses) CompletedSince(fingerprint uint64, since time.Duration) bool {
	last, known := r.seen[fingerprint]
	return known && !last.reported && last.at > since
}

// MarkReported records that the last completed run is being reported, and returns
// whether it was before.
func (r *RecentSuccesses) MarkReported(fingerprint uint64) bool {
	last, known := r.seen[fingerprint]
	if !known || last.reported {
		return true
	}
	last.reported = true
	r.seen[fingerprint] = last
	return false
}

// Suspects returns the fingerprints of requests in flight at a crash that no recent
// completed run rules out.
func (r *RecentSuccesses) Suspects(fingerprints []uint64, at time.Duration) []uint64 {
	var suspects []uint64
	for _, fingerprint := range fingerprints {
		last, known := r.seen[fingerprint]
		if !known || last.answered || at >= last.at+_successTTL {
			suspects = append(suspects, fingerprint)
		}
	}
	for _, fingerprint := range fingerprints {
		if last, known := r.seen[fingerprint]; known {
			last.answered = true
			r.seen[fingerprint] = last
		}
	}
	return suspects
}
