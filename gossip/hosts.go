package gossip

import (
	"slices"
	"time"
)

const (
	// _overdueMargin is how long the reply to a poll may take beyond the requested
	// wait before other control hosts are searched. A round trip takes a few
	// milliseconds, and a busy host takes some more.
	_overdueMargin = 200 * time.Millisecond
	// _searchInterval is the time between the pulls of a search. With the poll and the
	// margin, it finds the last of four control hosts in less than two seconds.
	_searchInterval = 150 * time.Millisecond
	// _slowSearchInterval is the time between pulls once every control host was asked
	// in vain.
	_slowSearchInterval = 500 * time.Millisecond
	// _recheckInterval is the time between pulls from hosts that are not known to be
	// current, while another one is.
	_recheckInterval = time.Second
	// _suspectTime is how long a control host that failed is not asked again while
	// another one is current.
	_suspectTime = 5 * time.Second
)

// hostState is what a node knows of a control host.
type hostState struct {
	pulling      bool          // a pull is pending
	current      bool          // the last reply said that the host was in touch with a leader
	suspectUntil time.Duration // after a failure or a reply that was not current
}

// pollControl polls one current control host at a time. While there is none, or the
// reply to a poll is overdue, it searches: it asks the other hosts one after another,
// without waiting for their replies.
func (m *Model) pollControl() []Cmd {
	if len(m.control) == 0 {
		return nil
	}
	if m.pollAddr != "" && m.at >= m.pollOverdueAt() {
		overdue := m.pollAddr
		m.pollAddr = ""
		m.suspect(overdue)
	}
	if m.pollAddr == "" {
		if addr := m.nextHost(m.isCurrent); addr != "" {
			m.pollAddr, m.polledAt = addr, m.at
			return m.pullFrom(addr, m.cfg.PollTimeout)
		}
		return m.search()
	}
	return m.recheck()
}

// pollOverdueAt returns when the reply to the current poll is overdue.
func (m *Model) pollOverdueAt() time.Duration {
	return m.polledAt + m.cfg.PollTimeout + _overdueMargin
}

// search asks the next control host that has no pending pull, suspected ones last.
func (m *Model) search() []Cmd {
	if m.at < m.searchAt {
		return nil
	}
	addr := m.nextHost(func(h hostState) bool { return !h.pulling && m.at >= h.suspectUntil })
	if addr == "" {
		addr = m.nextHost(func(h hostState) bool { return !h.pulling })
	}
	if addr == "" {
		return nil
	}
	m.searches++
	m.searchAt = m.at + _searchInterval
	if m.searches > len(m.control) {
		m.searchAt = m.at + _slowSearchInterval
	}
	m.controlIndex++
	return m.pullFrom(addr, 0)
}

// recheck asks a control host that is new or failed earlier, while another one is polled.
func (m *Model) recheck() []Cmd {
	addr, at := m.nextRecheck()
	if addr == "" || m.at < at {
		return nil
	}
	m.recheckedAt = m.at
	return m.pullFrom(addr, 0)
}

// nextRecheck returns the host to recheck next and when to do so, or "".
func (m *Model) nextRecheck() (string, time.Duration) {
	next, at := "", time.Duration(0)
	for _, addr := range m.control {
		h := m.hosts[addr]
		if !h.current && !h.pulling && (next == "" || h.suspectUntil < at) {
			next, at = addr, h.suspectUntil
		}
	}
	return next, max(at, m.recheckedAt+_recheckInterval)
}

func (m *Model) pullFrom(addr string, wait time.Duration) []Cmd {
	h := m.hosts[addr]
	h.pulling = true
	m.hosts[addr] = h
	return []Cmd{PullCmd{Source: Control, Addr: addr, Pull: m.pull(wait), NewConn: wait == 0}}
}

// nextHost returns the first control host from the current index on that satisfies the
// condition, or "".
func (m *Model) nextHost(holds func(h hostState) bool) string {
	for i := range m.control {
		addr := m.control[(m.controlIndex+i)%len(m.control)]
		if holds(m.hosts[addr]) {
			return addr
		}
	}
	return ""
}

func (m *Model) isCurrent(h hostState) bool {
	return h.current && !h.pulling
}

// suspect records that a control host failed or is not current.
func (m *Model) suspect(addr string) {
	h := m.hosts[addr]
	h.current = false
	h.suspectUntil = m.at + _suspectTime
	m.hosts[addr] = h
	if m.pollAddr == "" {
		m.currentUntil = 0
	}
}

// pullEnded records that a pull from a control host is no longer pending.
func (m *Model) pullEnded(addr string) {
	h := m.hosts[addr]
	h.pulling = false
	m.hosts[addr] = h
	if m.pollAddr == addr {
		m.pollAddr = ""
	}
}

// replied records whether a control host is current. A current one is polled next,
// or the host after it if it had nothing new, so that no single host is relied on.
func (m *Model) replied(addr string, current, polled, advanced bool) {
	if !current {
		m.suspect(addr)
		return
	}
	h := m.hosts[addr]
	h.current = true
	m.hosts[addr] = h
	m.searches = 0
	m.searchAt = 0
	m.currentUntil = m.at + _currentTTL
	if m.pollAddr != "" {
		return // a host that failed earlier has recovered
	}
	m.controlIndex = max(0, slices.Index(m.control, addr))
	if polled && !advanced {
		m.controlIndex++
	}
}

// forgetHosts drops the state of hosts that are no longer control hosts.
func (m *Model) forgetHosts() {
	for addr, h := range m.hosts {
		if !h.pulling && !slices.Contains(m.control, addr) {
			delete(m.hosts, addr)
		}
	}
}
