package route

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// _roomDamping is the time constant with which a measured room is followed. It is
	// several times the age of reports, so that ingresses do not all turn to a data centre
	// before they learn that the others have.
	_roomDamping = 1500 * time.Millisecond
	// _roomInterval is the time between two measurements.
	_roomInterval = 100 * time.Millisecond
	// _freshRoom is the age up to which a report counts in full, and _roomMaxAge that from
	// which it does not count.
	_freshRoom  = 500 * time.Millisecond
	_roomMaxAge = 2500 * time.Millisecond
	// _unknownRoom is the share of an instance's slots that counts as free without any
	// report: enough for a few requests to find out, and for a choice where nothing is known.
	_unknownRoom = 0.02
)

// CenterRoom is the room of a data centre: its free slots, as far as known.
type CenterRoom struct {
	Center string
	Room   float64
}

// Balance divides the requests that leave a data centre among the others by their room. The
// zero value knows no room.
type Balance struct {
	at    time.Duration
	rooms []CenterRoom // damped
}

// Observe takes over the rooms that were measured at a time. A list of other data centres
// than before starts anew.
func (b *Balance) Observe(at time.Duration, rooms []CenterRoom) {
	if !b.sameCenters(rooms) {
		b.rooms = append(b.rooms[:0], rooms...)
		b.at = at
		return
	}
	weight := 1 - math.Exp(-float64(at-b.at)/float64(_roomDamping))
	for i := range b.rooms {
		b.rooms[i].Room += weight * (rooms[i].Room - b.rooms[i].Room)
	}
	b.at = at
}

func (b *Balance) sameCenters(rooms []CenterRoom) bool {
	if len(b.rooms) != len(rooms) {
		return false
	}
	for i := range rooms {
		if rooms[i].Center != b.rooms[i].Center {
			return false
		}
	}
	return true
}

// Share returns the share of the requests that leave for a data centre.
func (b *Balance) Share(center string) float64 {
	sum, room := 0.0, 0.0
	for _, r := range b.rooms {
		sum += r.Room
		if r.Center == center {
			room = r.Room
		}
	}
	if sum == 0 {
		return 0
	}
	return room / sum
}

// pick returns the index of the data centre for a request, given a random number in [0, 1).
func (b *Balance) pick(random float64) int {
	sum := 0.0
	for _, r := range b.rooms {
		sum += r.Room
	}
	left := random * sum
	for i, r := range b.rooms {
		if left -= r.Room; left < 0 {
			return i
		}
	}
	return len(b.rooms) - 1
}

// roomOf returns the free slots of an instance, as far as known. An instance whose last
// attempt failed has none to speak of, however fast it answers.
func (t *LoadTracker) roomOf(c Candidate, p Pool, at time.Duration) float64 {
	if c.Excluded || c.Unreachable {
		return 0
	}
	l := t.loads[c.Key]
	slots := float64(p.slots(c))
	unknown := _unknownRoom * slots
	switch age := at - l.ReportedAt; {
	case at < l.RefusesUntil:
		return 0
	case l.ReportedAt == 0 || age >= _roomMaxAge || l.LastFailed || at < l.AvoidUntil:
		return unknown
	default:
		known := max(0, slots-float64(max(l.Active, l.InFlight)))
		trust := min(1, float64(_roomMaxAge-age)/float64(_roomMaxAge-_freshRoom))
		return trust*known + (1-trust)*min(known, unknown)
	}
}

// farCandidates returns the candidates of the data centre that a request which leaves its
// own goes to.
func (t *LoadTracker) farCandidates(p Pool, r Request) []Candidate {
	if len(p.farCenters) < 2 {
		return p.Candidates[p.LocalCount:]
	}
	if len(t.balance.rooms) != len(p.farCenters) || r.At >= t.balance.at+_roomInterval {
		t.measureRooms(p, r.At)
	}
	picked := p.farCenters[t.balance.pick(float64(r.Random>>40)/(1<<24))]
	return p.Candidates[picked.first:picked.end]
}

// measureRooms measures the room of each other data centre.
func (t *LoadTracker) measureRooms(p Pool, at time.Duration) {
	t.measured = t.measured[:0]
	for _, far := range p.farCenters {
		room := 0.0
		for _, c := range p.Candidates[far.first:far.end] {
			room += t.roomOf(c, p, at)
		}
		t.measured = append(t.measured, CenterRoom{Center: far.name, Room: room})
	}
	t.balance.Observe(at, t.measured)
}

// Nearby counts why instances in a request's own data centre were not chosen for it.
type Nearby struct {
	Full, Refusing, Unreachable, Tried, Avoided int
	// Room is the damped room of the data centre that was chosen instead.
	Room float64
}

// NearbyOf returns why a request leaves its data centre for another one.
func NearbyOf(p Pool, t *LoadTracker, r Request, chosen string) Nearby {
	var n Nearby
	for _, c := range p.Candidates[:p.LocalCount] {
		switch {
		case slices.Contains(r.Tried, c.Key):
			n.Tried++
		case c.Unreachable:
			n.Unreachable++
		case t.refuses(c.Key, r.At):
			n.Refusing++
		case c.Excluded || t.shouldAvoid(c.Key, r.At, p.MaxAvoided):
			n.Avoided++
		case t.loads[c.Key].active(r.At) >= p.slots(c):
			n.Full++
		}
	}
	for _, far := range t.balance.rooms {
		if far.Center == chosen {
			n.Room = far.Room
		}
	}
	return n
}

// String returns the counts for a log line.
func (n Nearby) String() string {
	return fmt.Sprintf("full %d, refusing %d, unreachable %d, tried %d, avoided %d; room there %.1f",
		n.Full, n.Refusing, n.Unreachable, n.Tried, n.Avoided, n.Room)
}
