package gossip

import (
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
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
	// _maxSilence is how long the rest of a reply may take to go on arriving.
	_maxSilence = time.Second
	// _askedWithoutState is how many hosts a node without any state asks.
	_askedWithoutState = 2
	// _rotateInterval is the time between pulls from other hosts than the polled one,
	// so that no single host is relied on.
	_rotateInterval = 5 * time.Second
	// _suspectTime is how long a control host that failed is asked last.
	_suspectTime = 5 * time.Second
)

// hostState is what a node knows of a control host.
type hostState struct {
	pulling      bool          // a pull is pending
	near         bool          // is in this node's data centre, as far as known
	rev          uint64        // the latest revision that it is known to have
	suspectUntil time.Duration // after a failure or a reply that was not current
}

// pollControl polls the control host that has lately said that it is current. While there
// is none, or the reply to a poll is overdue, it searches: it asks the other hosts for
// their revisions one after another, without waiting for their replies. A host is polled
// only after such a reply, so that a change is never held up by more than one host.
// Changes come from one host at a time, however large they are, since all replies share
// the link of this node.
func (m *Model) pollControl() []Cmd {
	if len(m.control) == 0 {
		return nil
	}
	if m.pollAddr != "" && m.at >= m.pollOverdueAt() {
		m.suspect(m.pollAddr)
	}
	switch {
	case m.currentHost == "":
		return m.search()
	case m.pollAddr == "" && !m.hosts[m.currentHost].pulling:
		m.pollAddr, m.polledAt, m.progressAt = m.currentHost, m.at, 0
		return m.pullFrom(m.currentHost, m.pull(m.cfg.PollTimeout), false)
	}
	return m.rotate()
}

// pollOverdueAt returns when the reply to the current poll is overdue. It isn't while parts
// of it arrive.
func (m *Model) pollOverdueAt() time.Duration {
	overdue := m.polledAt + m.cfg.PollTimeout + _overdueMargin
	if m.progressAt == 0 {
		return overdue
	}
	return max(overdue, m.progressAt+_maxSilence)
}

// isReceiving reports whether a large reply of a control host is arriving.
func (m *Model) isReceiving() bool {
	return m.fetchAddr != "" || m.pollAddr != "" && m.progressAt > 0
}

// search asks the next control host that has no pending pull, suspected ones last. Its
// connections are new, since open ones may have gone silent.
func (m *Model) search() []Cmd {
	if m.at < m.searchAt {
		return nil
	}
	addr := m.nextHost(m.isUnsuspected)
	if addr == "" {
		addr = m.nextHost(isIdle)
	}
	if addr == "" {
		return nil
	}
	m.searches++
	m.searchAt = m.at + _searchInterval
	if m.searches > len(m.control) {
		m.searchAt = m.at + _slowSearchInterval
	}
	if newest := m.newestHost(); newest != "" && m.fetchAddr == "" && m.searches > m.askedBeforeFetch() {
		// None of them is current, but this one has changes.
		m.fetchAddr = newest
		return m.pullFrom(newest, m.pull(0), true)
	}
	return m.pullFrom(addr, m.head(), true)
}

// askedBeforeFetch returns how many hosts are asked before changes are taken from one that
// is not current. To a node that knows nothing, any state is better than none.
func (m *Model) askedBeforeFetch() int {
	if m.view.Rev == 0 {
		return min(_askedWithoutState, len(m.control))
	}
	return len(m.control)
}

// newestHost returns the host without a pending pull that has the latest revision, if that
// is later than this node's; otherwise "".
func (m *Model) newestHost() string {
	newest, rev := "", m.view.Rev
	for _, addr := range m.control {
		if h := m.hosts[addr]; !h.pulling && h.rev > rev {
			newest, rev = addr, h.rev
		}
	}
	return newest
}

// setRev records the revision that a control host has.
func (m *Model) setRev(addr string, d proto.Delta) {
	h := m.hosts[addr]
	h.rev = 0
	if d.Cluster == m.view.Cluster || m.view.Cluster == 0 {
		h.rev = d.Rev
	}
	m.hosts[addr] = h
}

// setCenter records the data centre of a control host, if it is known.
func (m *Model) setCenter(addr, center string) {
	if center == "" {
		return
	}
	h := m.hosts[addr]
	h.near = center == m.cfg.Center
	m.hosts[addr] = h
}

// rotate asks another control host from time to time, first one in this node's data centre
// if the polled one is not. If that one is current, it is polled from then on, unless only
// the present one is near and is not behind.
func (m *Model) rotate() []Cmd {
	if m.at < m.rotateAt {
		return nil
	}
	m.rotateAt = m.at + _rotateInterval
	addr := ""
	if !m.hosts[m.currentHost].near {
		addr = m.nextHost(func(h hostState) bool { return h.near && m.isUnsuspected(h) })
	}
	if addr == "" {
		addr = m.nextHost(m.isUnsuspected)
	}
	if addr == "" || addr == m.currentHost {
		return nil
	}
	if m.isReceiving() || m.hosts[m.currentHost].rev > m.view.Rev {
		return m.pullFrom(addr, m.head(), false)
	}
	return m.pullFrom(addr, m.pull(0), false)
}

func (m *Model) pullFrom(addr string, pull proto.Pull, newConn bool) []Cmd {
	h := m.hosts[addr]
	h.pulling = true
	m.hosts[addr] = h
	return []Cmd{PullCmd{Source: Control, Addr: addr, Pull: pull, NewConn: newConn}}
}

// nextHost returns the first control host after the current index that satisfies the
// condition, and makes it the current index; it returns "" if there is none.
func (m *Model) nextHost(holds func(h hostState) bool) string {
	for i := range m.control {
		at := (m.controlIndex + i) % len(m.control)
		if holds(m.hosts[m.control[at]]) {
			m.controlIndex = at + 1
			return m.control[at]
		}
	}
	return ""
}

// anyIdle reports whether a control host has no pending pull.
func (m Model) anyIdle() bool {
	return slices.ContainsFunc(m.control, func(addr string) bool { return isIdle(m.hosts[addr]) })
}

func isIdle(h hostState) bool {
	return !h.pulling
}

func (m *Model) isUnsuspected(h hostState) bool {
	return !h.pulling && m.at >= h.suspectUntil
}

// suspect records that a control host failed or is not current. If it was polled, no other
// one is known to be current either: what it said may be as old as the poll.
func (m *Model) suspect(addr string) {
	h := m.hosts[addr]
	h.suspectUntil = m.at + _suspectTime
	m.hosts[addr] = h
	if addr != m.pollAddr && addr != m.currentHost {
		return
	}
	m.currentHost = ""
	m.currentUntil = 0
	if addr == m.pollAddr {
		m.pollAddr = ""
	}
}

// pullEnded records that a pull from a control host is no longer pending.
func (m *Model) pullEnded(addr string) {
	h := m.hosts[addr]
	h.pulling = false
	m.hosts[addr] = h
	if addr == m.fetchAddr {
		m.fetchAddr = ""
	}
}

// replied records whether a control host is current.
func (m *Model) replied(addr string, current bool) {
	if !current {
		m.suspect(addr)
		return
	}
	m.currentUntil = m.at + _currentTTL
	h := m.hosts[addr]
	h.suspectUntil = 0
	m.hosts[addr] = h
	if polled := addr == m.pollAddr; polled {
		m.pollAddr = ""
		if m.currentHost != "" {
			return // it is still to be polled, or another host has taken its place
		}
	}
	if m.currentHost != "" && m.isPreferred(m.currentHost, addr) {
		return
	}
	m.currentHost = addr
	m.searches = 0
	m.searchAt = 0
}

// isPreferred reports whether the present host is to be polled on instead of another one
// that is current too. A near host that did not send a change that others know is not.
func (m *Model) isPreferred(present, other string) bool {
	h := m.hosts[present]
	return h.near && !m.hosts[other].near && h.rev >= m.view.Rev
}

// forgetHosts drops the state of hosts that are no longer control hosts.
func (m *Model) forgetHosts() {
	for addr, h := range m.hosts {
		if !h.pulling && !slices.Contains(m.control, addr) {
			delete(m.hosts, addr)
		}
	}
}
