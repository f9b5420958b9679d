package route

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/view"
)

// Reason tells why an instance was chosen.
type Reason string

const (
	// ReasonLocal means that the instance is in the caller's data centre.
	ReasonLocal Reason = "near"
	// ReasonSpillover means that no instance in the caller's data centre had a
	// free slot.
	ReasonSpillover Reason = "spill"
	// ReasonSaturated means that no instance had a free slot.
	ReasonSaturated Reason = "crowded"
	// ReasonLastResort means that only instances to be avoided were left.
	ReasonLastResort Reason = "last"
)

const (
	// _choiceSamples is the number of random instances compared for a request.
	_choiceSamples = 2

	// _loadMaxAge is how long a load reported by an owner is used.
	_loadMaxAge = time.Second

	// _farWaitFactor weighs the wait for a slot in another data centre. Reported waits vary
	// by as much between instances that are equally busy, and two thirds of the requests
	// that queue would cross for nothing.
	_farWaitFactor = 1.25

	// One in _exploreInterval requests goes to the first instance sampled,
	// whatever its latency.
	_exploreInterval = 256
)

// Request is the input of a choice.
type Request struct {
	At time.Duration
	// Random selects the instances to compare.
	Random uint64
	// Tried lists the instances of earlier attempts.
	Tried []view.Key
}

// Choice is the chosen instance.
type Choice struct {
	Candidate Candidate
	Reason    Reason
	// Considered is the number of candidates that were compared.
	Considered int
	Load       Load
}

// Choose returns the instance for a request, or false if there is none.
func Choose(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	if c, ok := chooseFree(p, t, r); ok {
		return c, true
	}
	if c, ok := chooseCheaper(p.Candidates, p, t, r, false); ok {
		return c.withReason(ReasonSaturated), true
	}
	return chooseUnrefused(p, t, r)
}

// ChooseFree returns an instance that may have a free slot. It returns false if
// all usable instances are known to be full: it is then better to wait at one
// of them than to try more.
func ChooseFree(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	if c, ok := chooseFree(p, t, r); ok {
		return c, true
	}
	if _, ok := chooseCheaper(p.Candidates, p, t, r, false); ok {
		return Choice{}, false
	}
	return chooseUnrefused(p, t, r)
}

func chooseFree(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	if c, ok := chooseCheaper(p.Candidates[:p.LocalCount], p, t, r, true); ok {
		return c.withReason(ReasonLocal), true
	}
	if c, ok := chooseCheaper(t.farCandidates(p, r), p, t, r, true); ok {
		return c.withReason(ReasonSpillover), true
	}
	c, ok := chooseCheaper(p.Candidates[p.LocalCount:], p, t, r, true)
	return c.withReason(ReasonSpillover), ok
}

// chooseUnrefused returns an instance to be avoided whose owner has not
// announced that it refuses requests.
func chooseUnrefused(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	return chooseAvoided(p, t, r, func(c Candidate) bool { return !t.refuses(c.Key, r.At) })
}

// HasSkipped reports whether Choose skips any instances because their owners
// would refuse the request or are unreachable.
func HasSkipped(p Pool, t *LoadTracker, r Request) bool {
	return slices.ContainsFunc(p.Candidates, func(c Candidate) bool {
		return !c.Excluded && !slices.Contains(r.Tried, c.Key) && (c.Unreachable || t.refuses(c.Key, r.At))
	})
}

// ChooseShortestWait returns the usable instance with the shortest expected
// wait, or false if there is none. The wait in another data centre must be shorter by
// _farWaitFactor.
func ChooseShortestWait(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	var best Choice
	found := 0
	least := 0.0
	mean := t.meanWait(p, r.At)
	for n := range p.Candidates {
		i := (int(r.Random%uint64(len(p.Candidates))) + n) % len(p.Candidates)
		c := p.Candidates[i]
		if !usable(c, p, t, r) {
			continue
		}
		l := t.Load(c.Key)
		found++
		wait := mean
		if l.isFresh(r.At) {
			wait = l.expectedWait(r.At, p.slots(c))
		}
		if i >= p.LocalCount && p.LocalCount > 0 {
			wait *= _farWaitFactor
		}
		if found == 1 || wait < least {
			least = wait
			best = Choice{Candidate: c, Load: l, Reason: ReasonSaturated}
		}
	}
	best.Considered = found
	return best, found > 0
}

// ChooseAvoided returns an instance even if it should be avoided, or false if
// all have been tried or excluded.
func ChooseAvoided(p Pool, t *LoadTracker, r Request) (Choice, bool) {
	return chooseAvoided(p, t, r, func(Candidate) bool { return true })
}

// chooseCheaper samples up to two usable instances at random and returns the one
// with the lower cost.
func chooseCheaper(list []Candidate, p Pool, t *LoadTracker, r Request, free bool) (Choice, bool) {
	var best Choice
	found := 0
	if len(list) == 0 {
		return best, false
	}
	start := int(r.Random % uint64(len(list)))
	step := stride(r.Random, len(list))
	for n := range list {
		c := list[(start+n*step)%len(list)]
		l := t.Load(c.Key)
		if !usable(c, p, t, r) || free && l.active(r.At) >= p.slots(c) {
			continue
		}
		found++
		if found == 1 || l.cost(r.At) < best.Load.cost(r.At) {
			best = Choice{Candidate: c, Load: l}
		}
		if found == _choiceSamples || r.isExploration() {
			break
		}
	}
	best.Considered = found
	return best, found > 0
}

// isExploration reports whether the request goes to a random instance to measure
// its latency again; otherwise, an instance that was slow once would never be
// chosen again.
func (r Request) isExploration() bool {
	return r.Random>>16%_exploreInterval == _exploreInterval-1
}

// chooseAvoided returns an instance that fits, even if it should be avoided.
// Instances with unreachable owners come last.
func chooseAvoided(p Pool, t *LoadTracker, r Request, fits func(Candidate) bool) (Choice, bool) {
	for _, unreachable := range []bool{false, true} {
		for n := range p.Candidates {
			c := p.Candidates[(int(r.Random%uint64(len(p.Candidates)))+n)%len(p.Candidates)]
			if !c.Excluded && c.Unreachable == unreachable && !slices.Contains(r.Tried, c.Key) && fits(c) {
				return Choice{Candidate: c, Reason: ReasonLastResort, Considered: 1, Load: t.Load(c.Key)}, true
			}
		}
	}
	return Choice{}, false
}

// usable reports whether a candidate may be chosen. Instances are avoided only as
// far as the floor allows.
func usable(c Candidate, p Pool, t *LoadTracker, r Request) bool {
	if c.Excluded || c.Unreachable || slices.Contains(r.Tried, c.Key) || t.refuses(c.Key, r.At) {
		return false
	}
	return !t.shouldAvoid(c.Key, r.At, p.MaxAvoided)
}

// refuses reports whether an instance's owner refuses requests at the given time.
func (t *LoadTracker) refuses(k view.Key, at time.Duration) bool {
	return at < t.loads[k].RefusesUntil
}

func (c Choice) withReason(why Reason) Choice {
	c.Reason = why
	return c
}

// active returns the number of active attempts: the owner's report while it is
// recent, and at least the attempts in flight from this ingress. Old reports are
// ignored so that an instance that was full once is chosen again.
func (l Load) active(at time.Duration) int {
	if at >= l.ReportedAt+_loadMaxAge {
		return l.InFlight
	}
	return max(l.InFlight, l.Active)
}

// cost ranks instances by the expected time to wait for and run a request.
func (l Load) cost(at time.Duration) int64 {
	return int64(l.active(at)+1) * int64(max(l.Latency, time.Millisecond))
}

// meanWait returns the mean expected wait of the instances with a recent report.
// It is assumed for those without one.
func (t *LoadTracker) meanWait(p Pool, at time.Duration) float64 {
	sum, n := 0.0, 0
	for _, c := range p.Candidates {
		if l := t.Load(c.Key); l.isFresh(at) {
			sum += l.expectedWait(at, p.slots(c))
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// isFresh reports whether the load was reported recently.
func (l Load) isFresh(at time.Duration) bool {
	return l.ReportedAt > 0 && at < l.ReportedAt+_loadMaxAge
}

// expectedWait ranks instances by the work queued for each slot.
func (l Load) expectedWait(at time.Duration, slots int) float64 {
	return float64(l.active(at)+1) / float64(max(slots, 1)) * float64(max(l.Latency, time.Millisecond))
}

// stride returns a pseudo-random step, coprime to n, with which to visit every
// index of a list of n once.
func stride(random uint64, n int) int {
	step := int((random>>32)%uint64(n)) | 1
	for gcd(step, n) != 1 {
		step += 2
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
