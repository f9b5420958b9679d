package quota

import "time"

const (
	// _headroomShare is the part of a bucket, and _minHeadroom the least number of tokens,
	// that a home may grant between two standings.
	_headroomShare = 0.25
	_minHeadroom   = 4
	// MaxStandingAge is how old standings may be for the next home to go on from them.
	MaxStandingAge = 2500 * time.Millisecond
)

// Standing is what a home tells its possible successors of an account, so that the next one
// need not begin with an empty bucket.
type Standing struct {
	Customer string `json:"c"`
	// Level is what the bucket has at least, until the next standing.
	Level int64 `json:"l,omitempty"`
	// Leased is the rate at which nodes go on that hear from no home.
	Leased int64 `json:"r,omitempty"`
}

// heritage is what a home has from its predecessor.
type heritage struct {
	standings map[string]Standing
	age       time.Duration // of the standings when the home began
	until     time.Duration // end of the predecessor's leases
	silent    float64       // share of the nodes that this home has not heard
}

// NewHomeFrom returns a home that goes on from its predecessor's standings. The predecessor
// must not grant anything any more.
func NewHomeFrom(term uint64, at, age time.Duration, standings []Standing) Home {
	h := NewHome(term, at)
	h.grantsFrom, h.open = at, true
	h.heritage = &heritage{standings: make(map[string]Standing, len(standings)), age: age, until: at + _lease, silent: 1}
	for _, s := range standings {
		h.heritage.standings[s.Customer] = s
	}
	return h
}

// Standings returns the standings of the accounts whose buckets are not full. From the first
// call on, the home grants only as much as its last standings allow for. They are nil while
// it grants nothing.
func (h *Home) Standings(at time.Duration) []Standing {
	if at < h.grantsFrom {
		return nil
	}
	h.standby, h.due = true, false
	list := make([]Standing, 0, len(h.accounts))
	for _, a := range h.accounts {
		a.advance(at)
		a.unsaid = 0
		if len(a.parts) > 0 || a.level < a.terms.capacity {
			list = append(list, Standing{Customer: a.name, Level: a.level - a.headroom(), Leased: a.leased})
		}
	}
	return list
}

// StandingsDue reports whether an account has used up what the last standings allow for.
func (h *Home) StandingsDue() bool {
	return h.due
}

// headroom returns how much a home may grant between two standings.
func (a *account) headroom() int64 {
	return max(int64(_headroomShare*float64(a.terms.capacity)), _minHeadroom*_token)
}

// inherit sets the level of an account that has just been made.
func (a *account) inherit(from *heritage) {
	level, leased := a.terms.capacity-a.headroom(), int64(0)
	if s, ok := from.standings[a.name]; ok {
		level, leased = s.Level, s.Leased
	}
	level += perSecond(a.terms.rate, from.age) - perSecond(leased, max(0, from.age-_silence))
	a.level = min(level, a.terms.capacity)
	a.heritage, a.inherited = from, leased
}

// chargeSilent charges what nodes that this home has not heard use by their leases.
func (a *account) chargeSilent(at time.Duration) {
	if a.heritage == nil {
		return
	}
	if until := min(at, a.heritage.until); until > a.at {
		a.level -= int64(a.heritage.silent * float64(perSecond(a.inherited, until-a.at)))
	}
	if at >= a.heritage.until {
		a.heritage = nil
	}
}
