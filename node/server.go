package node

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/damaskpitch/damaskpitch/access"
	"github.com/damaskpitch/damaskpitch/bodies"
	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/drain"
	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/meter"
	"github.com/damaskpitch/damaskpitch/origin"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_tickInterval = 50 * time.Millisecond
	// _busyTickInterval and _idleTickInterval are the times between two ticks of the
	// clock while requests run that nothing waits for, and while none run.
	_busyTickInterval  = 250 * time.Millisecond
	_idleTickInterval  = time.Second
	_heartbeatInterval = 2 * time.Second
	_callTimeout       = 2 * time.Second
	_submitTimeout     = 3 * time.Second
	_readHeaderTimeout = 5 * time.Second
	_idleTimeout       = 2 * time.Minute
	// _maxHeaderBytes is the maximum size of a request's header, and of a response's
	// with the interim responses before it.
	_maxHeaderBytes = 64 << 10
)

// Config configures a node.
type Config struct {
	Settings config.Node
	Logger   *slog.Logger
	// Headers are the names of the headers that callers and backend servers use. The
	// zero value selects the defaults.
	Headers Headers
}

// Server is the ingress and the owner of one host.
type Server struct {
	cfg          Config
	headers      Headers
	log          *slog.Logger
	start        time.Time
	epoch        atomic.Uint64
	seq          atomic.Uint64
	peerDigest   string // of the key, in attempts
	nextControl  atomic.Uint64
	client       *wire.Client
	meter        meter.Meter
	stats        stats
	fleet        *fleet
	responses    *responseStore
	ownerConns   *ownerConns
	flows        *flow.Table
	heads        *heads.Pool // of all ports but the one for other nodes
	peerHeads    *heads.Pool
	headLimits   config.Heads
	bodies       *bodies.Pool
	viewSync     *viewSync
	pipelines    *pipelines
	heartbeatNow chan struct{}
	clockNow     chan struct{}
	// unreachableNow has an element while the unreachable owners are to be probed.
	unreachableNow chan struct{}

	mu              sync.Mutex
	gate            gate.Model
	waiting         map[ledger.Ref]chan gate.Cmd
	backends        map[string]*backend
	lastReports     map[string]lastReport // by instance ID
	departures      map[string]int64      // by instance ID: latest start that is recorded as leaving
	custody         []proto.Rumor         // departures that the control hosts do not have yet
	leaders         map[uint32]string     // last known address of the leader, by replication group
	unreachable     map[string]bool       // addresses of unreachable owners
	recentSuccesses *poison.RecentSuccesses
	nestedFailures  nestedFailures
	calls           origin.Model
	stop            atomic.Pointer[drain.Model]
	stopOnce        sync.Once
	stopCounts      stopCounts
	nextTick        time.Duration
	refusedBodies   int           // since the last log line on them
	bodiesLoggedAt  time.Duration // 0 if none was logged
	planLease       access.Lease  // of the right to honour keys
	usage           usage
	handoverAt      atomic.Int64 // time since start at which a successor took over; 0 if none did

	tookOver bool // from a predecessor that was still running

	// Owned by the heartbeat loop.
	registered  bool
	superseded  bool
	flowsToldAt time.Duration // when a heartbeat last carried flows
}

// New returns a node that has not started.
func New(cfg Config) *Server {
	s := &Server{
		cfg:             cfg,
		headers:         cfg.Headers.withDefaults(),
		log:             cfg.Logger.With(slog.String("node", cfg.Settings.Name)),
		start:           time.Now(),
		client:          wire.NewClient(cfg.Settings.Key, proto.Codec),
		meter:           meter.New("node"),
		heartbeatNow:    make(chan struct{}, 1),
		clockNow:        make(chan struct{}, 1),
		unreachableNow:  make(chan struct{}, 1),
		gate:            gate.New(gate.Config{}),
		waiting:         map[ledger.Ref]chan gate.Cmd{},
		leaders:         map[uint32]string{},
		backends:        map[string]*backend{},
		lastReports:     map[string]lastReport{},
		departures:      map[string]int64{},
		planLease:       access.NewLease(cfg.Settings.Revoke.Std()),
		usage:           newUsage(cfg.Settings.Name),
		unreachable:     map[string]bool{},
		recentSuccesses: poison.NewRecentSuccesses(),
	}
	stop := drain.New(drain.Config{Timeout: s.stopTimeout(), Successor: cfg.Settings.Stop == 0})
	s.stop.Store(&stop)
	s.stats = newStats(s.meter.Scope)
	s.epoch.Store(uint64(s.start.UnixMilli()))
	s.peerDigest = wire.Digest(cfg.Settings.Key)
	s.fleet = newFleet(cfg.Settings.Center)
	s.responses = newResponseStore()
	s.flows = flow.NewTable(cfg.Settings.Center, s.meter.Scope)
	s.client.CountFlows(s.flows, proto.CauseOf)
	s.headLimits = cfg.Settings.Heads.WithDefaults(cfg.Settings.Memory)
	s.ownerConns = newOwnerConns(cfg.Settings.Center, s.flows, s.headLimits.Lines+_ownerLines)
	peer, others := s.headLimits.NodePools()
	recorder := heads.NewRecorder(s.meter.Scope, s.log)
	s.peerHeads, s.heads = heads.NewPool(peer, recorder), heads.NewPool(others, recorder)
	s.bodies = bodies.NewPool(cfg.Settings.Bodies.Pool(cfg.Settings.Memory))
	s.viewSync = newViewSync(s)
	s.pipelines = newPipelines(s)
	return s
}

// Run serves until the context ends, and then drains the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	s.takeOver(ctx)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var background errgroup.Group
	background.Go(func() error { return s.viewSync.run(work) })
	background.Go(func() error { return s.runHeartbeats(work) })
	background.Go(func() error { return s.runReports(work) })
	background.Go(func() error { return s.runClock(work) })
	background.Go(func() error { return s.probeUnreachable(work) })
	background.Go(func() error { return s.flows.RunLog(work, s.log) })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Local, s.localHandler()) })
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Peer, s.peerHandler()) })
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Caller, resetIncomplete(s.pipelines)) })
	if s.cfg.Settings.Ready != "" {
		group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Ready, s.localHandler()) })
	}
	group.Go(func() error { return s.markStopping(ctx) })
	err := group.Wait()
	stopWork()
	err = errors.CombineErrors(err, background.Wait())
	s.client.CloseIdle()
	s.ownerConns.closeIdle()
	return errors.CombineErrors(err, s.meter.Close())
}

// now returns the time since the process started.
func (s *Server) now() time.Duration {
	return time.Since(s.start)
}

// runClock advances the models at each tick. Ticks are rare while nothing waits for one.
func (s *Server) runClock(ctx context.Context) error {
	timer := time.NewTimer(_tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.clockNow:
			timer.Reset(s.bringTickForward())
			continue
		case <-timer.C:
			s.expireLeases()
			s.updateGate(gate.ClockMsg{At: s.now()})
			s.checkBackends()
		}
		timer.Reset(s.scheduleTick())
	}
}

// scheduleTick sets when the clock ticks next and returns the time until then: short
// while attempts are queued, or run at an instance whose recovery they may show.
func (s *Server) scheduleTick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.tickIntervalLocked()
	s.nextTick = s.now() + next
	return next
}

// bringTickForward returns the time until the clock's next tick, which is not later than
// the one that was scheduled.
func (s *Server) bringTickForward() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextTick = min(s.nextTick, s.now()+s.tickIntervalLocked())
	return s.nextTick - s.now()
}

func (s *Server) tickIntervalLocked() time.Duration {
	next := _idleTickInterval
	for id, b := range s.backends {
		switch {
		case s.gate.Load(id, s.now()).Queued > 0 || len(b.inFlight) > 0 && b.breaker.Suspects(s.now()):
			return _tickInterval
		case len(b.inFlight) > 0:
			next = _busyTickInterval
		}
	}
	return next
}

// tickWithinLocked brings the clock's next tick forward if it is further away than d.
func (s *Server) tickWithinLocked(d time.Duration) {
	if s.nextTick <= s.now()+d {
		return
	}
	select {
	case s.clockNow <- struct{}{}:
	default:
	}
}

// updateGate sends a message to the gate and delivers its decisions to the waiting
// attempts.
func (s *Server) updateGate(msg gate.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateGateLocked(msg)
}

// updateGateLocked is updateGate for callers that hold mu.
func (s *Server) updateGateLocked(msg gate.Msg) []gate.Cmd {
	model, cmds := s.gate.Update(msg)
	s.gate = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			s.deliver(cmd.Ref, cmd)
		case gate.RefuseCmd:
			s.deliver(cmd.Ref, cmd)
		}
	}
	return cmds
}

// deliver passes the gate's decision to the waiting attempt, if any.
func (s *Server) deliver(ref ledger.Ref, cmd gate.Cmd) {
	decided, ok := s.waiting[ref]
	if !ok {
		return
	}
	delete(s.waiting, ref)
	decided <- cmd
}
