package gate

import (
	"maps"
	"slices"
	"time"
)

const (
	// _maxTags is how many customers of a priority may be ahead of the virtual time.
	// One that has had a single start is so until the virtual time moves.
	_maxTags = 256
	// _maxLead is how far a customer may be ahead of the virtual time, in starts. Nested
	// calls go first and are charged; without a limit they could shut out the customer's
	// other requests for long.
	_maxLead = 64
)

// shares holds the service that customers have received at one instance, by priority.
type shares map[int]*share

// share is the state of start-time fair queueing in one priority; each start counts as
// one unit of service.
type share struct {
	now  int            // virtual time
	tags map[string]int // start tags of the customers that are ahead of it
	// overtaking tells how often an attempt is queued before others of the priority.
	overtaking arrivalStats
}

// open begins to account for the customers of a priority.
func (s shares) open(priority int) {
	if s[priority] == nil {
		s[priority] = &share{tags: map[string]int{}}
	}
}

// tag returns the start tag of the next attempt of a customer without queued attempts.
func (s shares) tag(priority int, customer string) int {
	of := s[priority]
	if of == nil {
		return 0
	}
	return max(of.now, of.tags[customer])
}

// set sets the start tag of a customer's next attempt. Tags that are not ahead of the
// virtual time say nothing and may be dropped.
func (s *share) set(customer string, tag int) {
	if tag <= s.now {
		delete(s.tags, customer)
		return
	}
	s.tags[customer] = tag
	if len(s.tags) <= _maxTags {
		return
	}
	s.drop()
	if len(s.tags) > _maxTags/2 {
		sorted := slices.Sorted(maps.Values(s.tags))
		s.now = sorted[len(sorted)/2]
		s.drop()
	}
}

func (s *share) drop() {
	maps.DeleteFunc(s.tags, func(_ string, tag int) bool { return tag <= s.now })
}

// charge counts the start of an attempt as service that its customer has received.
// Calls without a customer are charged to nobody.
func (i *instance) charge(w waiter) {
	s := i.shares[w.priority]
	if s == nil || w.customer == "" && w.nested {
		return
	}
	if !w.nested || i.queue.level(w.priority) == nil {
		s.now = max(s.now, w.tag)
	}
	next := min(w.tag+1, s.now+_maxLead)
	s.set(w.customer, next)
	if l := i.queue.level(w.priority); l != nil {
		if at := l.find(w.customer); at >= 0 {
			l.flows[at].tag = next
		}
	}
}

// newcomer returns the place of a new attempt in the fair order.
func (i *instance) newcomer(msg AdmitMsg) newcomer {
	n := newcomer{priority: msg.Priority, customer: msg.Customer, nested: msg.Nested, level: i.queue.level(msg.Priority), self: -1}
	if n.level != nil {
		n.self = n.level.find(msg.Customer)
	}
	if n.self >= 0 {
		n.tag = n.level.flows[n.self].tag
		n.last = n.level.flows[n.self].lastTag() + 1
		return n
	}
	n.tag = i.shares.tag(msg.Priority, msg.Customer)
	n.last = n.tag
	return n
}

// expectedOvertaking estimates how many attempts of other customers are queued before a new
// one within a time span. Attempts at the virtual time start before later ones.
func (i *instance) expectedOvertaking(n newcomer, span, at time.Duration) float64 {
	s := i.shares[n.priority]
	if s == nil || n.nested || n.last <= s.now {
		return 0
	}
	return s.overtaking.expected(span, at)
}

// observeOvertaking records an attempt that is queued before others of its priority.
func (i *instance) observeOvertaking(n newcomer, at time.Duration) {
	s := i.shares[n.priority]
	if s == nil || n.level == nil || n.nested {
		return
	}
	if n.level.exceeding().lastTag() > n.last {
		s.overtaking = s.overtaking.with(at)
	}
}

// waiter returns a new attempt as the queue holds it.
func (msg AdmitMsg) waiter(n newcomer) waiter {
	return waiter{
		ref: msg.Ref, at: msg.At, startBy: msg.StartBy, targetStart: msg.TargetStart,
		noProbe: msg.NoProbe, bypassBreaker: msg.BypassBreaker, nested: msg.Nested,
		priority: msg.Priority, customer: msg.Customer, tag: n.tag,
	}
}

// countWithinShares counts the attempts that go before one of the least urgent priority
// whose customer was idle. The queue of a customer beyond its share is left out: it holds
// up that customer's attempts only.
func (i *instance) countWithinShares() int {
	total := 0
	for n := range i.queue.levels {
		l := &i.queue.levels[n]
		s := i.shares[l.priority]
		for j := range l.flows {
			f := &l.flows[j]
			if s == nil || i.shares.hasLessUrgent(l.priority) {
				total += f.n
				continue
			}
			total += max(f.nested, min(f.n, max(0, s.now-f.tag+1)))
		}
	}
	return total
}

// hasLessUrgent reports whether customers have sent attempts of a less urgent priority.
func (s shares) hasLessUrgent(priority int) bool {
	for p := range s {
		if p > priority {
			return true
		}
	}
	return false
}
