package gate

import (
	"slices"
	"time"
)

// flow holds the queued attempts of one customer, or of all that have none, in one
// priority.
type flow struct {
	customer string
	tag      int // start tag of its next attempt
	n        int
	nested   int // how many of the attempts are nested calls
	callers  []callerQueue
}

func (f *flow) len() int {
	return f.n
}

// lastTag returns the start tag of the last queued attempt.
func (f *flow) lastTag() int {
	return f.tag + f.n - 1
}

func (f *flow) count(match func(*waiter) bool) int {
	n := 0
	for i := range f.callers {
		for j := range f.callers[i].waiters {
			if match(&f.callers[i].waiters[j]) {
				n++
			}
		}
	}
	return n
}

func (f *flow) push(caller string, w waiter) {
	f.n++
	if w.nested {
		f.nested++
	}
	i := slices.IndexFunc(f.callers, func(c callerQueue) bool { return c.caller == caller })
	if i < 0 {
		f.callers = append(f.callers, callerQueue{caller: caller, waiters: []waiter{w}})
		return
	}
	f.callers[i].waiters = append(f.callers[i].waiters, w)
}

// next returns the caller and the index of the next eligible attempt, or -1: of the first
// caller in the round robin that has one. If ranked is set, the caller whose next attempt
// has the lowest rank goes first.
func (f *flow) next(at time.Duration, eligible func(*waiter) bool, ranked bool) (caller, index int) {
	caller, index = -1, -1
	best := _rankLate + 1
	for i := range f.callers {
		n := f.callers[i].next(at, eligible)
		if n < 0 {
			continue
		}
		if !ranked {
			return i, n
		}
		if rank := f.callers[i].waiters[n].rank(at); rank < best {
			caller, index, best = i, n, rank
		}
	}
	return caller, index
}

// take removes an attempt; its caller goes last in the round robin.
func (f *flow) take(caller, index int) waiter {
	c := f.callers[caller]
	w := c.waiters[index]
	w.tag = f.tag
	c.waiters = slices.Delete(c.waiters, index, index+1)
	f.callers = slices.Delete(f.callers, caller, caller+1)
	if len(c.waiters) > 0 {
		f.callers = append(f.callers, c)
	}
	f.n--
	if w.nested {
		f.nested--
	}
	return w
}

// longest returns the caller with the longest queue.
func (f *flow) longest() int {
	most := 0
	for i := range f.callers {
		if len(f.callers[i].waiters) > len(f.callers[most].waiters) {
			most = i
		}
	}
	return most
}

// queuedOf returns how many attempts of a caller are queued.
func (f *flow) queuedOf(caller string) int {
	for i := range f.callers {
		if f.callers[i].caller == caller {
			return len(f.callers[i].waiters)
		}
	}
	return 0
}

// next returns the index of the next eligible attempt: the first nested call, or
// else the one with the earliest target start ahead, or else the first late one,
// or -1.
func (c callerQueue) next(at time.Duration, eligible func(*waiter) bool) int {
	best, late := -1, -1
	for i := range c.waiters {
		w := &c.waiters[i]
		switch {
		case !eligible(w):
		case w.nested:
			return i
		case w.targetStart <= at && late < 0:
			late = i
		case w.targetStart > at && (best < 0 || w.targetStart < c.waiters[best].targetStart):
			best = i
		}
	}
	if best < 0 {
		return late
	}
	return best
}

// retain removes and returns the attempts that do not match.
func (f *flow) retain(match func(*waiter) bool) []waiter {
	var dropped []waiter
	for i := range f.callers {
		c := &f.callers[i]
		c.waiters = slices.DeleteFunc(c.waiters, func(w waiter) bool {
			if match(&w) {
				return false
			}
			if w.nested {
				f.nested--
			}
			dropped = append(dropped, w)
			return true
		})
	}
	f.n -= len(dropped)
	f.callers = slices.DeleteFunc(f.callers, func(c callerQueue) bool { return len(c.waiters) == 0 })
	return dropped
}
