package poison

import "time"

const (
	_defaultMemory = 4096
	_goodFor       = 5 * time.Minute
)

// Aboard remembers which fingerprints lately ended well at an owner: they were
// merely aboard when an instance crashed.
type Aboard struct {
	good  map[uint64]time.Duration
	order []uint64
}

// NewAboard returns an empty memory.
func NewAboard() *Aboard {
	return &Aboard{good: map[uint64]time.Duration{}}
}

// Well notes that a request with the fingerprint ended well.
func (a *Aboard) Well(mark uint64, at time.Duration) {
	if _, known := a.good[mark]; !known {
		a.order = append(a.order, mark)
	}
	a.good[mark] = at
	if len(a.order) > _defaultMemory {
		delete(a.good, a.order[0])
		a.order = a.order[1:]
	}
}

// Suspects returns the fingerprints that did not lately end well.
func (a *Aboard) Suspects(prints []uint64, at time.Duration) []uint64 {
	var suspects []uint64
	for _, mark := range prints {
		seen, known := a.good[mark]
		if !known || at >= seen+_goodFor {
			suspects = append(suspects, mark)
		}
	}
	return suspects
}
