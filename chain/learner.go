package chain

import "time"

const (
	// _maxKinds and _maxServices bound what a node learns. An instance takes a few kinds of
	// requests and calls a few services.
	_maxKinds    = 64
	_maxServices = 16
	// _window is the time for which calls count as recent.
	_window = time.Second
	// _reportTime is how long after a failed call an owner reports.
	_reportTime = 2 * time.Second
	// _memory is the number of runs after which an earlier run counts half.
	_memory = 200
	// _minCalls is the least number of calls in a run of a kind that counts as calling. Kinds
	// without calls beside others that make them come to 0.11 in TestLearnerTellsKindsApart.
	_minCalls = 0.2
)

// Msg is a message to a Learner; At is the time since the process started.
type Msg interface{ chainMsg() }

// RunMsg reports that the instance begins a run of a kind.
type RunMsg struct{ Kind string }

// RunEndMsg reports that a run has ended.
type RunEndMsg struct{ Kind string }

// CallMsg reports that the instance makes a call.
type CallMsg struct{ Service string }

// CallEndMsg reports how a call has ended: Refused if the called service had no room for it.
// A call that failed at an instance does not count as refused, since fewer calls would
// fail just as often.
type CallEndMsg struct {
	Service string
	Refused bool
	At      time.Duration
}

func (RunMsg) chainMsg()     {}
func (RunEndMsg) chainMsg()  {}
func (CallMsg) chainMsg()    {}
func (CallEndMsg) chainMsg() {}

// Report says how many calls of a kind an owner has seen since it started, how many of
// them failed, the same for the last second, and how many a run of the kind usually makes.
// Counts since the start tell two reports apart without bias: owners report when a run
// ends, which is soonest after a failed call.
type Report struct {
	Calls, Failed             float64
	RecentCalls, RecentFailed float64
	PerRun                    float64
}

// Learner holds what a node knows of its instance's runs and calls; it is not safe for
// concurrent use.
type Learner struct {
	kinds    map[string]*kind
	services map[string]*calls
}

// kind is what is known of the runs of one kind.
type kind struct {
	running int
	runs    float64            // ended, with fading memory
	calls   map[string]float64 // made by these runs, by service
}

// calls counts the recent calls to one service in two halves of the window.
type calls struct {
	total    tally
	since    time.Duration // beginning of the current half
	current  tally
	last     tally
	failedAt time.Duration
}

// tally counts calls.
type tally struct{ calls, failed float64 }

// NewLearner returns a learner that knows nothing.
func NewLearner() Learner {
	return Learner{kinds: map[string]*kind{}, services: map[string]*calls{}}
}

// Update applies a message.
func (l Learner) Update(msg Msg) Learner {
	switch msg := msg.(type) {
	case RunMsg:
		if k := l.kind(msg.Kind); k != nil {
			k.running++
		}
	case RunEndMsg:
		if k := l.kinds[msg.Kind]; k != nil {
			k.end()
		}
	case CallMsg:
		l.attribute(msg.Service)
	case CallEndMsg:
		l.count(msg)
	}
	return l
}

func (l Learner) kind(name string) *kind {
	k := l.kinds[name]
	if k == nil && name != "" && len(l.kinds) < _maxKinds {
		k = &kind{calls: map[string]float64{}}
		l.kinds[name] = k
	}
	return k
}

func (k *kind) end() {
	k.running = max(0, k.running-1)
	k.runs++
	if k.runs > 2*_memory {
		k.runs /= 2
		for service := range k.calls {
			k.calls[service] /= 2
		}
	}
}

// perRun estimates how many calls to a service a run of the kind makes.
func (k *kind) perRun(service string) float64 {
	return (k.calls[service] + 1) / (k.runs + 1)
}

// attribute shares a call out between the kinds that run.
func (l Learner) attribute(service string) {
	total := 0.0
	for _, k := range l.kinds {
		total += float64(k.running) * k.perRun(service)
	}
	if total == 0 {
		return
	}
	for _, k := range l.kinds {
		if _, known := k.calls[service]; k.running > 0 && (known || len(k.calls) < _maxServices) {
			k.calls[service] += float64(k.running) * k.perRun(service) / total
		}
	}
}

func (l Learner) count(msg CallEndMsg) {
	c := l.services[msg.Service]
	if c == nil {
		if len(l.services) >= _maxServices {
			return
		}
		c = &calls{since: msg.At, failedAt: -_reportTime}
		l.services[msg.Service] = c
	}
	c.advance(msg.At)
	c.current.calls++
	c.total.calls++
	if msg.Refused {
		c.current.failed++
		c.total.failed++
		c.failedAt = msg.At
	}
}

// advance moves on to the half of the window that a time is in.
func (c *calls) advance(at time.Duration) {
	switch halves := (at - c.since) / (_window / 2); {
	case halves >= 2:
		c.last, c.current = tally{}, tally{}
		c.since = at
	case halves == 1:
		c.last, c.current = c.current, tally{}
		c.since += _window / 2
	}
}

// Calls reports whether runs of a kind call a service.
func (l Learner) Calls(name, service string) bool {
	k := l.kinds[name]
	return k != nil && k.calls[service] > 0 && k.perRun(service) >= _minCalls
}

// Report returns what the owner tells ingresses of a kind, or false if no call has failed
// lately.
func (l Learner) Report(name string, at time.Duration) (Report, bool) {
	var sum Report
	failed := false
	for service, c := range l.services {
		if !l.Calls(name, service) {
			continue
		}
		c.advance(at)
		sum.Calls += c.total.calls
		sum.Failed += c.total.failed
		sum.RecentCalls += c.last.calls + c.current.calls
		sum.RecentFailed += c.last.failed + c.current.failed
		sum.PerRun += l.kinds[name].perRun(service)
		failed = failed || at < c.failedAt+_reportTime
	}
	return sum, failed
}
