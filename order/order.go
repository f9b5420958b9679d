package order

import "slices"

// Config holds the bounds of one connection.
type Config struct {
	// Requests is how many requests run at once, the one in turn included.
	Requests int
	// Held is how many bytes are held for requests that wait for their turn.
	Held int64
}

// entry is a request that started early and has not been answered.
type entry struct {
	seq       uint64
	running   bool
	cancelled bool
	held      int64
	wants     int64 // bytes that its response waits to hold, 0 if it does not wait
}

// Model is the state of one connection; one lock guards it.
type Model struct {
	cfg      Config
	room     int64 // bytes that the process can still hold
	last     uint64
	inTurn   bool // a request is being served in turn
	turn     entry
	open     bool // requests may start early
	blocked  bool // the request behind the last early one waits for its turn
	stopping bool
	ended    bool
	queue    []entry
}

// New returns the model of a connection on which no request has been served.
func New(cfg Config) Model {
	return Model{cfg: cfg}
}

// WithRoom returns the model with what the process can still hold, for all connections.
func (m Model) WithRoom(bytes int64) Model {
	m.room = bytes
	return m
}

// Held returns the number of bytes that are held for requests of this connection.
func (m Model) Held() int64 {
	held := m.turn.held
	for _, e := range m.queue {
		held += e.held
	}
	return held
}

// Pending returns the number of early requests that wait for their turn.
func (m Model) Pending() int {
	n := 0
	for _, e := range m.queue {
		if !e.cancelled {
			n++
		}
	}
	return n
}

// Running returns the number of early requests that run and whose turn has not come.
func (m Model) Running() int {
	n := 0
	for _, e := range m.queue {
		if e.running {
			n++
		}
	}
	return n
}

// Wants reports whether the next head that was read ahead is to be parsed, given what the
// parsed head takes up.
func (m Model) Wants(cost int64) bool {
	return m.inTurn && m.open && !m.blocked && !m.stopping && !m.ended &&
		m.Running()+1 < m.cfg.Requests && m.fits(cost)
}

// fits reports whether some more bytes may be held for requests behind the one in turn.
func (m Model) fits(bytes int64) bool {
	return m.Held()+bytes <= m.cfg.Held && bytes <= m.room
}

// Update returns the model after a message, and its decisions.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	m.queue = slices.Clone(m.queue)
	switch msg := msg.(type) {
	case TurnMsg:
		return m.takeTurn(msg)
	case ReadMsg:
		return m.read(msg)
	case HoldMsg:
		return m.hold(msg)
	case DrainedMsg:
		m.turn.held = 0
		return m.grant()
	case DoneMsg:
		return m.done(msg.Seq)
	case AnsweredMsg:
		m.inTurn, m.open = false, false
		m.turn.held = 0
		if msg.Closing {
			return m.cancelAll()
		}
		return m.grant()
	case BrokenMsg:
		return m.cancelAll()
	case StopMsg:
		m.stopping = true
	}
	return m, nil
}

// takeTurn moves on to the next request. Its response, if it started early, no longer
// waits for room.
func (m Model) takeTurn(msg TurnMsg) (Model, []Cmd) {
	m.inTurn, m.open, m.blocked, m.turn = true, msg.Open, false, entry{}
	if m.Pending() == 0 {
		return m, nil
	}
	m.turn, m.queue = m.queue[0], m.queue[1:]
	m.turn.wants = 0
	return m, []Cmd{DeliverCmd{Seq: m.turn.seq}}
}

// read starts a request, or blocks those behind it. Between Wants and this, other
// connections may have taken the room.
func (m Model) read(msg ReadMsg) (Model, []Cmd) {
	if !msg.Early || !m.fits(msg.Cost) {
		m.blocked = true
		return m, nil
	}
	m.last++
	m.queue = append(m.queue, entry{seq: m.last, running: true, held: msg.Cost})
	return m, []Cmd{StartCmd{Seq: m.last}}
}

// hold grants room to a response, or has it wait.
func (m Model) hold(msg HoldMsg) (Model, []Cmd) {
	for n, e := range m.queue {
		if e.seq != msg.Seq || e.cancelled {
			continue
		}
		m.queue[n].wants = msg.Bytes
		return m.grant()
	}
	return m, nil
}

// grant gives room to the responses that wait for it, in the order of their requests.
// A later response does not pass an earlier one that needs more.
func (m Model) grant() (Model, []Cmd) {
	var cmds []Cmd
	for n, e := range m.queue {
		if e.wants == 0 {
			continue
		}
		if !m.fits(e.wants) {
			break
		}
		m.room -= e.wants
		m.queue[n].held += e.wants
		m.queue[n].wants = 0
		cmds = append(cmds, HoldCmd{Seq: e.seq})
	}
	return m, cmds
}

// done records the end of an early request. A cancelled one holds nothing from then on.
func (m Model) done(seq uint64) (Model, []Cmd) {
	for n, e := range m.queue {
		if e.seq != seq {
			continue
		}
		m.queue[n].running, m.queue[n].wants = false, 0
		if e.cancelled {
			m.queue = slices.Delete(m.queue, n, n+1)
		}
		break
	}
	return m.grant()
}

// cancelAll cancels the early requests; no others start on this connection.
func (m Model) cancelAll() (Model, []Cmd) {
	var cmds []Cmd
	m.ended = true
	if m.inTurn && m.turn.seq != 0 {
		cmds = append(cmds, CancelCmd{Seq: m.turn.seq})
	}
	var rest []entry
	for _, e := range m.queue {
		if !e.cancelled {
			cmds = append(cmds, CancelCmd{Seq: e.seq})
		}
		if e.running {
			e.cancelled, e.wants = true, 0
			rest = append(rest, e)
		}
	}
	m.queue = rest
	return m, cmds
}
