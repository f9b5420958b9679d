package quota

import (
	"math"
	"time"
)

const (
	// _demandSeconds is the time over which demand is averaged.
	_demandSeconds = 1.5
	// A node returns its tokens after _idleAfter without requests, or _idleRequests times the
	// usual time between two if that is shorter, but not within _idleLeast.
	_idleAfter    = time.Second
	_idleLeast    = 200 * time.Millisecond
	_idleRequests = 6.0
	// _keepSeconds is for how long a node keeps tokens for its demand.
	_keepSeconds = 0.6
)

// entry is a node's state of a customer. Its counters are those of Need.
type entry struct {
	hash     uint32
	life     uint64
	limit    Limit
	nodes    int
	terms    terms
	taken    uint64
	undone   uint64
	returned uint64
	refused  uint64
	waiting  int // requests that wait for a token
	granted  int64
	rate     int64 // leased, in units a second
	demand   float64
	demandAt time.Duration
	dirty    bool // something has changed since the last report

	reportedIn   uint64 // sequence number of the report that has it, 0 once it is answered
	reportedDebt int64
	reportedWant uint64
}

// request notes the demand of a request.
func (e *entry) request(at time.Duration) {
	e.demand = e.demand*math.Exp((e.demandAt-at).Seconds()/_demandSeconds) + 1
	e.demandAt = at
}

// idle reports whether requests have stopped.
func (e *entry) idle(at time.Duration) bool {
	usual := time.Duration(_idleRequests * _demandSeconds / max(e.demand, 1) * float64(time.Second))
	return at-e.demandAt >= min(_idleAfter, max(_idleLeast, usual))
}

// want returns the recent demand in requests a second.
func (e *entry) want(at time.Duration) float64 {
	if e.idle(at) {
		return 0
	}
	return e.demand * math.Exp((e.demandAt-at).Seconds()/_demandSeconds) / _demandSeconds
}

// net returns the tokens that are used up.
func (e *entry) net() int64 {
	return int64(e.taken) - int64(e.undone) + int64(e.returned)
}

// held returns the tokens that are left, given those that the leased rate adds. It is
// negative by what is overdrawn.
func (e *entry) held(added int64) int64 {
	return e.granted + added - e.net()
}

// void takes away the tokens that are left, given those that the leased rate has added.
func (e *entry) void(added int64) {
	e.granted, e.rate = e.granted+added, 0
	if net := e.net(); e.granted > net {
		e.granted = net
		e.dirty = true
	}
}

// returnUnused gives back tokens that will not be needed soon.
func (e *entry) returnUnused(at time.Duration) {
	held, keep := e.held(0), int64(0)
	if !e.idle(at) {
		keep = 1 + int64(math.Ceil(_keepSeconds*e.want(at)))
	} else if e.reportedWant > 0 {
		e.dirty = true
	}
	if held > keep {
		e.returned += uint64(held - keep)
		e.dirty = true
	}
}

func (e *entry) need(customer string) Need {
	return Need{
		Customer: customer, Life: e.life, Taken: e.taken, Undone: e.undone, Returned: e.returned, Refused: e.refused,
		Debt: uint64(e.reportedDebt), Want: e.reportedWant, Waiting: uint64(e.waiting),
	}
}
