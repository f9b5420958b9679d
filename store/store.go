package store

import (
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_defaultHistory   = 20000
	_defaultRequests  = time.Hour
	_defaultRetention = 24 * time.Hour
)

// Config sets what a model retains; zero values select the defaults.
type Config struct {
	// History is the number of events from which a watcher can resume.
	History int
	// Requests is how long the result of an operator request is stored for retries.
	Requests time.Duration
	// Retention is how long the answer for an idempotency key is stored.
	Retention time.Duration
	// RejectClaims is set for the fleet group, which holds no idempotency keys.
	RejectClaims bool
}

// Model is the replicated state. It is not safe for concurrent use.
type Model struct {
	cfg            Config
	index          uint64
	at             time.Duration
	view           *view.View
	arbiters       map[string]floor.Model
	claims         claim.Model
	poison         poison.Model
	requests       map[string]StoredResult
	bootstrapHosts map[uint32]uint64 // by claim group: the only host that may bootstrap it
	history        *view.History
	departures     []RecordedDepartures // oldest first
}

// StoredResult is the result of an operator request and its expiry.
type StoredResult struct {
	Result any           `json:"result"`
	Until  time.Duration `json:"until"`
}

// New returns an empty model.
func New(cfg Config) Model {
	cfg = cfg.withDefaults()
	return Model{
		cfg:            cfg,
		view:           view.New(),
		arbiters:       map[string]floor.Model{},
		claims:         claim.New(claim.Config{Retention: cfg.Retention}),
		poison:         poison.New(poison.Config{}),
		requests:       map[string]StoredResult{},
		bootstrapHosts: map[uint32]uint64{},
		history:        view.NewHistory(0, cfg.History),
	}
}

// View returns the state published to nodes; the caller must not modify it.
func (m Model) View() *view.View {
	return m.view
}

// Index returns the index of the last applied entry.
func (m Model) Index() uint64 {
	return m.index
}

// At returns the log time of the last applied entry.
func (m Model) At() time.Duration {
	return m.at
}

// Since returns the events after a revision, or false if the history does not cover
// it and the watcher needs a snapshot.
func (m Model) Since(rev uint64) ([]view.Event, bool) {
	if rev > m.view.Rev {
		return nil, false
	}
	return m.history.Since(rev)
}

// Healthy returns the number of instances of a service that count towards its floor.
func (m Model) Healthy(service string) int {
	return m.arbiters[service].Healthy(m.at)
}

// Apply applies one entry; an entry that was applied before has no effect.
func (m Model) Apply(e Entry) (Model, Result) {
	if e.Index <= m.index {
		return m, Stale{}
	}
	m.index = e.Index
	m.at = max(m.at, e.At)
	if _, ok := e.Command.(AdvanceClock); ok {
		m = m.expire()
	}
	switch c := e.Command.(type) {
	case Bootstrap:
		return m, m.bootstrap(c)
	case BootstrapGroup:
		return m, m.bootstrapGroup(c)
	case PutService:
		return m.deduplicate(c.Request, func() Result { return m.putService(c) })
	case DropService:
		return m.deduplicate(c.Request, func() Result { return m.dropService(c) })
	case Declare:
		return m.deduplicateWritten(c.Request, func() Result { return m.declare(c) })
	case Amend:
		return m.deduplicateWritten(c.Request, func() Result { return m.amend(c) })
	case RegisterMember:
		return m, m.registerMember(c)
	case RegisterInstance:
		return m, m.registerInstance(c)
	case DeregisterInstance:
		return m, m.deregisterInstance(c)
	case SetReachability:
		return m, m.setReachability(c)
	case RemoveMember:
		return m, m.removeMember(c)
	case EjectInstance:
		return m, m.ejectInstance(c)
	case RestoreInstance:
		return m, m.restoreInstance(c)
	case ReportCrash:
		return m, m.reportCrash(c)
	case ReportCompleted:
		return m, m.reportCompleted(c)
	case RecordDeparture:
		return m, m.recordDeparture(c)
	case TryBanned:
		return m, m.tryBanned(c)
	case Claim:
		return m.claim(c)
	case SettleClaim:
		return m.settleClaim(c)
	}
	return m, Written{Rev: m.index}
}

// bootstrap keeps the first cluster ID: a new leader that has not yet applied its
// log may submit another one.
func (m *Model) bootstrap(c Bootstrap) Result {
	if m.view.Cluster != 0 {
		return Stale{}
	}
	m.emit(view.ClusterBootstrapped{Cluster: c.Cluster, Groups: c.Groups})
	return Written{Rev: m.index}
}

func (m *Model) bootstrapGroup(c BootstrapGroup) Result {
	if host, taken := m.bootstrapHosts[c.Group]; taken && host != c.Host {
		return Stale{}
	}
	m.bootstrapHosts[c.Group] = c.Host
	return Written{Rev: m.index}
}

// deduplicate runs an operator request once per request ID and returns the stored
// result for retries.
func (m Model) deduplicate(request string, run func() Result) (Model, Result) {
	if request == "" {
		return m, run()
	}
	if stored, ok := m.requests[request]; ok {
		return m, stored.Result.(Result)
	}
	result := run()
	m.requests[request] = StoredResult{Result: result, Until: m.at + m.cfg.Requests}
	return m, result
}

// deduplicateWritten is deduplicate for requests of which only a successful result
// is stored: a failed one may be sent again based on another version.
func (m Model) deduplicateWritten(request string, run func() Result) (Model, Result) {
	if stored, ok := m.requests[request]; ok && request != "" {
		return m, stored.Result.(Result)
	}
	result := run()
	if _, ok := result.(Written); ok && request != "" {
		m.requests[request] = StoredResult{Result: result, Until: m.at + m.cfg.Requests}
	}
	return m, result
}

func (m *Model) emit(c view.Change) {
	e := view.Event{Rev: m.index, Change: c}
	m.view.Apply(e)
	m.history.Add(e)
}

func (m Model) expire() Model {
	m.claims, _ = m.claims.Update(claim.ClockMsg{At: m.at})
	m.updateCrashCounts(poison.ClockMsg{At: m.at})
	m.expireDepartures()
	for request, stored := range m.requests {
		if stored.Until <= m.at {
			delete(m.requests, request)
		}
	}
	for service := range m.arbiters {
		m.updateArbiter(service, floor.ClockMsg{At: m.at})
	}
	return m
}

func (c Config) withDefaults() Config {
	if c.History == 0 {
		c.History = _defaultHistory
	}
	if c.Requests == 0 {
		c.Requests = _defaultRequests
	}
	if c.Retention == 0 {
		c.Retention = _defaultRetention
	}
	return c
}
