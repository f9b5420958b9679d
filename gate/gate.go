package gate

import (
	"time"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// _ewmaWeight is the weight of a new sample in a moving average: about the last
// ten samples count.
const _ewmaWeight = 0.1

// _minCapacityShare is the least share of an instance's capacity assumed for a
// class: what the classes ahead of it leave is only a rough estimate.
const _minCapacityShare = 0.05

// _lateQueuePerSlot is how many attempts per slot may wait although they will
// miss their target: once load drops, that many are served within one more
// service time.
const _lateQueuePerSlot = 1

// Limits are an instance's concurrency slots, queue length and slow start time.
type Limits struct {
	Slots  int
	Queue  int
	Warmup time.Duration
}

// Load is the current load of an instance.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Ahead counts the queued attempts that an attempt of an idle customer and of the
	// least urgent priority would find ahead of it.
	Ahead int
}

// Config sets up a gate.
type Config struct {
	Ledger ledger.Config
}

// Model is the gate of one node; one loop owns it.
type Model struct {
	ledger    *ledger.Ledger
	instances map[string]*instance
}

type instance struct {
	limits         Limits
	rampFrom       time.Duration
	leaving        bool
	leaveAt        time.Duration
	ejectedUntil   time.Duration
	running        int
	queue          queue
	started        map[ledger.Ref]time.Duration // start times of running attempts
	serviceTime    time.Duration                // moving average
	completionGap  time.Duration                // moving average between completions with a non-empty queue
	lastCompletion time.Duration                // last completion with a non-empty queue, or 0
	arrivals       arrivals
	breaker        breaker
	rate           rate
	shares         shares
	reserve        reserve
}

// New returns a gate without instances.
func New(cfg Config) Model {
	return Model{ledger: ledger.New(cfg.Ledger), instances: map[string]*instance{}}
}

// Load returns the current load of an instance.
func (m Model) Load(id string, at time.Duration) Load {
	i := m.instances[id]
	if i == nil {
		return Load{}
	}
	return Load{Running: i.running, Queued: i.queue.len(), Slots: i.slots(at), Ahead: i.countWithinShares()}
}

// State returns the ledger's state of an attempt.
func (m Model) State(ref ledger.Ref) ledger.State {
	return m.ledger.State(ref)
}

// Update applies one message and returns the resulting commands.
func (m Model) Update(msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case RegisterMsg:
		return m, m.register(msg)
	case LeaveMsg:
		m.edit(msg.ID, func(i *instance) { i.leaving, i.leaveAt = true, msg.Until })
	case RemoveMsg:
		return m, m.remove(msg)
	case EjectMsg:
		m.edit(msg.ID, func(i *instance) { i.ejectedUntil = msg.Until })
	case RestoreMsg:
		m.edit(msg.ID, func(i *instance) { i.ejectedUntil, i.rampFrom = 0, msg.At })
	case AdmitMsg:
		return m, m.admit(msg)
	case BreakerMsg:
		return m, m.setBreaker(msg)
	case MaxRateMsg:
		return m, m.setMaxRate(msg)
	case DoneMsg:
		return m, m.done(msg)
	case RevokeMsg:
		return m, m.revoke(msg)
	case ClockMsg:
		return m, m.clock(msg.At)
	}
	return m, nil
}

func (m Model) register(msg RegisterMsg) []Cmd {
	i := m.instances[msg.ID]
	if i == nil {
		i = &instance{rampFrom: msg.At, started: map[ledger.Ref]time.Duration{}, arrivals: arrivals{}, shares: shares{}}
		m.instances[msg.ID] = i
	}
	i.limits = msg.Limits
	i.leaving = false
	return m.fill(i, msg.At)
}

func (m Model) edit(id string, change func(*instance)) {
	if i := m.instances[id]; i != nil {
		change(i)
	}
}

func (m Model) remove(msg RemoveMsg) []Cmd {
	i := m.instances[msg.ID]
	if i == nil {
		return nil
	}
	delete(m.instances, msg.ID)
	return m.refuseAll(i, UnknownInstance, msg.At)
}

func (m Model) admit(msg AdmitMsg) []Cmd {
	switch state := m.ledger.Open(msg.Ref); state {
	case ledger.Absent:
	case ledger.Canceled:
		return []Cmd{RefuseCmd{Ref: msg.Ref, Reason: Revoked}}
	default:
		return []Cmd{DuplicateCmd{Ref: msg.Ref, State: state}}
	}
	i := m.instances[msg.ID]
	if reason := i.refusal(msg.At); reason != "" {
		return m.refuse(msg.Ref, reason, msg.At)
	}
	if msg.At >= msg.StartBy {
		return m.refuse(msg.Ref, Expired, msg.At)
	}
	if msg.Customer != "" {
		i.shares.open(msg.Priority)
	}
	n := i.newcomer(msg)
	allowed := i.rate.allows(msg.At)
	if allowed && i.hasSlot(msg.Nested, msg.At) && (i.queue.len() == 0 || i.breaker.open(msg.At) || i.mayUseReserve(n, msg.At)) {
		i.arrivals.observe(msg.class(), msg.At)
		return m.start(i, msg.waiter(n), msg.At)
	}
	full := Full
	if !allowed {
		full = Limited
	}
	if msg.NoQueue || !i.mayStartInTime(msg, n) {
		return m.refuse(msg.Ref, full, msg.At)
	}
	return m.enqueue(i, msg, n)
}

func (m Model) enqueue(i *instance, msg AdmitMsg, n newcomer) []Cmd {
	var cmds []Cmd
	if i.queue.len() >= i.limits.Queue {
		victim, ok := i.queue.evict(n, msg.Caller)
		if !ok {
			return m.refuse(msg.Ref, Full, msg.At)
		}
		cmds = m.refuse(victim.ref, Full, msg.At)
		n = i.newcomer(msg)
	}
	i.arrivals.observe(msg.class(), msg.At)
	i.observeOvertaking(n, msg.At)
	i.queue.push(msg.Caller, msg.waiter(n))
	return cmds
}

func (m Model) done(msg DoneMsg) []Cmd {
	if m.ledger.State(msg.Ref) != ledger.Running {
		return nil
	}
	m.ledger.Finish(msg.Ref, msg.At)
	i := m.instances[msg.ID]
	if i == nil {
		return nil
	}
	i.running = max(0, i.running-1)
	i.recordCompletion(msg.Ref, msg.At)
	return m.fill(i, msg.At)
}

func (m Model) revoke(msg RevokeMsg) []Cmd {
	before := m.ledger.State(msg.Ref)
	state := m.ledger.Cancel(msg.Ref, msg.At)
	cmds := []Cmd{RevokeResultCmd{Ref: msg.Ref, State: state}}
	if before != ledger.Waiting {
		return cmds
	}
	if i := m.instances[msg.ID]; i != nil {
		i.queue.remove(msg.Ref)
	}
	return append(cmds, RefuseCmd{Ref: msg.Ref, Reason: Revoked})
}

func (m Model) clock(at time.Duration) []Cmd {
	var cmds []Cmd
	for _, i := range m.instances {
		for _, w := range i.queue.removeExpired(at) {
			i.reserve = i.reserve.withWait(w, at)
			cmds = append(cmds, m.refuse(w.ref, Expired, at)...)
		}
		if reason := i.refusal(at); reason != "" {
			cmds = append(cmds, m.refuseAll(i, reason, at)...)
		}
		cmds = append(cmds, m.fill(i, at)...)
	}
	m.ledger.Forget(at)
	return cmds
}

// fill starts queued attempts while slots are free.
func (m Model) fill(i *instance, at time.Duration) []Cmd {
	var cmds []Cmd
	for i.running < i.slots(at) && i.rate.allows(at) && i.refusal(at) == "" {
		w, ok := i.queue.pop(at, func(w *waiter) bool { return i.hasSlot(w.nested, at) && i.breaker.allows(w, at) })
		if !ok {
			return cmds
		}
		if at >= w.startBy {
			cmds = append(cmds, m.refuse(w.ref, Expired, at)...)
			continue
		}
		i.breaker.probed = i.breaker.probed || !w.bypassBreaker
		i.reserve = i.reserve.withWait(w, at)
		cmds = append(cmds, m.start(i, w, at)...)
	}
	return cmds
}

func (m Model) start(i *instance, w waiter, at time.Duration) []Cmd {
	if !m.ledger.Start(w.ref) {
		return nil
	}
	i.running++
	i.rate = i.rate.withStart(at)
	i.charge(w)
	i.started[w.ref] = at
	return []Cmd{StartCmd{Ref: w.ref}}
}

func (m Model) refuse(ref ledger.Ref, reason Reason, at time.Duration) []Cmd {
	m.ledger.Cancel(ref, at)
	return []Cmd{RefuseCmd{Ref: ref, Reason: reason}}
}

func (m Model) refuseAll(i *instance, reason Reason, at time.Duration) []Cmd {
	var cmds []Cmd
	for {
		w, ok := i.queue.pop(at, func(*waiter) bool { return true })
		if !ok {
			return cmds
		}
		cmds = append(cmds, m.refuse(w.ref, reason, at)...)
	}
}

// refusal returns why the instance takes no new work, or the empty string.
func (i *instance) refusal(at time.Duration) Reason {
	switch {
	case i == nil:
		return UnknownInstance
	case i.leaving && at >= i.leaveAt:
		return Leaving
	case at < i.ejectedUntil:
		return Ejected
	}
	return ""
}

// recordCompletion updates the moving averages with an attempt that has ended.
func (i *instance) recordCompletion(ref ledger.Ref, at time.Duration) {
	from, ok := i.started[ref]
	delete(i.started, ref)
	if !ok {
		return
	}
	i.serviceTime = smooth(i.serviceTime, at-from)
	if i.queue.len() == 0 {
		i.lastCompletion = 0
		return
	}
	if i.lastCompletion > 0 {
		i.completionGap = smooth(i.completionGap, at-i.lastCompletion)
	}
	i.lastCompletion = at
}

func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + time.Duration(_ewmaWeight*float64(sample-average))
}

// mayStartInTime reports whether an attempt is expected to start in time, or
// else is one of the few late ones that may wait for the load to drop.
func (i *instance) mayStartInTime(msg AdmitMsg, n newcomer) bool {
	last := max(msg.StartBy, msg.LatestStart)
	if msg.Nested {
		return msg.At+i.wait(i.queue.countAheadOfNested(n), msg, n) < last
	}
	if msg.TargetStart == 0 {
		return msg.At+i.wait(i.queue.countAhead(n), msg, n) < last
	}
	if msg.At+i.wait(i.queue.countAheadOfTarget(n, msg.TargetStart, msg.At), msg, n) < min(msg.TargetStart, last) {
		return true
	}
	if i.queue.countLate(n, msg.At) >= _lateQueuePerSlot*i.slots(msg.At) {
		return false
	}
	return msg.At+i.wait(i.queue.countAhead(n), msg, n) < last
}

// wait estimates how long a new attempt waits behind a number of others and
// behind those of classes ahead of it that arrive meanwhile.
func (i *instance) wait(ahead int, msg AdmitMsg, n newcomer) time.Duration {
	slots := max(i.slots(msg.At), 1)
	completions := ahead + max(0, i.running-slots) + 1
	completionGap := i.completionGap
	if completionGap == 0 {
		completionGap = i.serviceTime / time.Duration(slots)
	}
	completionGap = max(completionGap, i.rate.interval())
	share := max(_minCapacityShare, 1-i.arrivals.expectedAhead(msg.class(), completionGap, msg.At)-i.expectedOvertaking(n, completionGap, msg.At))
	return time.Duration(float64(completions)*float64(completionGap)/share) + max(0, i.breaker.probeAt-msg.At)
}

// slots returns the slots in use: a cold instance ramps up from one slot to its
// limit within the warmup time.
func (i *instance) slots(at time.Duration) int {
	age := at - i.rampFrom
	if age >= i.limits.Warmup {
		return i.limits.Slots
	}
	return 1 + int(int64(i.limits.Slots-1)*int64(age)/int64(i.limits.Warmup))
}
