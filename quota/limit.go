package quota

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// _token is the number of units in a token.
	_token = 1_000_000
	// _lease is how long a node may use tokens after it sent the report for which they were
	// granted.
	_lease = 3 * time.Second
	// _wait is how long a new home grants nothing. It exceeds _lease by what clocks may
	// differ in speed.
	_wait = 3150 * time.Millisecond
	// _silence is the time after an answer from which a node uses its leased rate.
	_silence = 400 * time.Millisecond

	// The cap allows _windowSeconds of the rate and the burst, _excess of that, and
	// _excessTokens.
	_windowSeconds = 5
	_excess        = 0.1
	_excessTokens  = 20
	// _bucketShare is the part of the excess that the bucket holds. The rest is for
	// requests that nodes accept without a token.
	_bucketShare = 0.6
	// A bucket refills at _refillShare of the rate. The rest covers clocks that differ and
	// messages that are on their way.
	_refillShare = 0.99
	// A cap allows the burst in each window. _steadyShare of it is added to the rate at which
	// the bucket refills, instead of to its capacity.
	_steadyShare = 0.5

	// A node hears after _hearSeconds in the mean that a customer has little left. A hot
	// customer sends _surge times its rate meanwhile.
	_hearSeconds = 0.25
	_surge       = 4.7
	// _maxLow is the largest part of a bucket below which it counts as low.
	_maxLow = 0.8
	// _recoveryShare is the largest part of its capacity that a low bucket must gain to be no
	// longer low.
	_recoveryShare = 0.2
	// _unknownShare is the part of the excess for overdrafts that nodes may use without
	// knowledge of the bucket.
	_unknownShare = 0.3
	// In a fleet of so few nodes that they overdraw _fewShare of the excess, all may.
	_fewShare = 0.5
	// _waitShare is the part of the excess for overdrafts that a new home accepts while it
	// waits.
	_waitShare = 0.5
)

// Limit is the cap of a customer: requests a second, and how many more at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// terms are what follows from a limit and the number of nodes. Amounts are in units.
type terms struct {
	rate     int64 // per second
	capacity int64
	// Nodes may not overdraw while the level is below lowLevel and, with the tokens that
	// nodes have, below low. A low bucket must gain recovery to be no longer low.
	low      int64
	lowLevel int64
	recovery int64
	reserve  int64 // what overdrafts may take beyond an empty bucket
	debt     int64 // tokens that a node may overdraw until it is answered
	// Numbers of nodes that may overdraw while the bucket is known not to be low, and while
	// nothing is known.
	overdrawers int
	unknowing   int
}

func termsOf(l Limit, nodes int) terms {
	excess := _excess*(_windowSeconds*l.Rate+l.Burst) + _excessTokens
	steady := _steadyShare * l.Burst
	capacity := l.Burst - steady + _bucketShare*excess
	reserve := (1 - _bucketShare) * excess
	// What nodes overdraw before they hear of a surge must fit into the level and the
	// reserve. It is at most one request per node; the tokens that nodes have serve a part
	// of what the customer sends.
	sent := _surge * _hearSeconds * l.Rate
	low := math.Max(0, math.Min(sent-reserve, _maxLow*capacity))
	t := terms{
		rate:      units(_refillShare * (l.Rate + steady/_windowSeconds)),
		capacity:  units(capacity),
		low:       units(low),
		lowLevel:  units(math.Max(0, float64(nodes)-reserve)),
		reserve:   units(reserve),
		debt:      1,
		recovery:  units(math.Min(_recoveryShare*capacity, sent)),
		unknowing: int(math.Min(_unknownShare*reserve, float64(nodes))),
	}
	if sent <= reserve {
		// All that a hot customer sends fits, at however few nodes it arrives.
		t.debt = 2
	}
	if few := _fewShare * reserve; float64(nodes) <= few {
		t.unknowing = nodes
	}
	share := math.Max(low+reserve, 1) / math.Max(sent, 1)
	t.overdrawers = min(nodes, max(int(low+reserve), int(share*float64(nodes))))
	return t
}

// units converts tokens to units. Limits beyond what a fleet can serve are cut off.
func units(tokens float64) int64 {
	const most = 1e9
	return int64(math.Min(tokens, most) * _token)
}

// perSecond returns what a rate in units a second amounts to in a time.
func perSecond(rate int64, d time.Duration) int64 {
	return int64(float64(rate) * d.Seconds())
}

// hashOf returns the number by which answers name a customer.
func hashOf(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

func nodeHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// mix spreads the bits of a number.
func mix(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}
