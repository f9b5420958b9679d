package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/damaskpitch/damaskpitch/calls"
	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/meter"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_tick          = 50 * time.Millisecond
	_beatInterval  = 2 * time.Second
	_callTimeout   = 2 * time.Second
	_submitTimeout = 3 * time.Second
	_headerTimeout = 5 * time.Second
	_idleTimeout   = 2 * time.Minute
	_maxHeader     = 64 << 10
	_drainTimeout  = 90 * time.Second
)

// Config sets up a node.
type Config struct {
	Settings config.Node
	Logger   *slog.Logger
	// Headers are what callers and backend servers use; zero takes the
	// product's own.
	Headers Headers
}

// Server is one node.
type Server struct {
	cfg    Config
	names  Headers
	log    *slog.Logger
	start  time.Time
	epoch  atomic.Uint64
	seq    atomic.Uint64
	turn   atomic.Uint64
	client *wire.Client
	meter  meter.Meter
	stats  stats
	fleet  *fleet
	paths  *ownerConns
	follow *viewSync
	kick   chan struct{}

	mu       sync.Mutex
	gate     gate.Model
	waiting  map[ledger.Ref]chan gate.Cmd
	backs    map[string]*backend
	heard    map[string]heard  // the newest report of each instance
	leaders  map[uint32]string // of each replication group, as last heard
	broken   map[string]bool   // addresses of owners that cannot be reached
	aboard   *poison.RecentSuccesses
	excuses  excuses
	calls    calls.Model
	stopping atomic.Bool
	stopAt   atomic.Int64 // when the node was told to stop, since its start, or 0
	handed   atomic.Int64 // when a successor took over, since its start, or 0

	tookOver bool // from a predecessor that still runs

	// Owned by the heartbeat's loop.
	enrolled  bool
	succeeded bool
}

// New returns a node that runs nothing yet.
func New(cfg Config) *Server {
	s := &Server{
		cfg:     cfg,
		names:   cfg.Headers.withDefaults(),
		log:     cfg.Logger.With(slog.String("node", cfg.Settings.Name)),
		start:   time.Now(),
		client:  wire.NewClient(cfg.Settings.Key, proto.Codec),
		meter:   meter.New("node"),
		kick:    make(chan struct{}, 1),
		gate:    gate.New(gate.Config{}),
		waiting: map[ledger.Ref]chan gate.Cmd{},
		leaders: map[uint32]string{},
		backs:   map[string]*backend{},
		heard:   map[string]heard{},
		broken:  map[string]bool{},
		aboard:  poison.NewRecentSuccesses(),
	}
	s.stats = newStats(s.meter.Scope)
	s.epoch.Store(uint64(s.start.UnixMilli()))
	s.fleet = newFleet(cfg.Settings.Center)
	s.paths = newOwnerConns()
	s.follow = newViewSync(s)
	return s
}

// Run serves until the context ends, then finishes what is in flight.
func (s *Server) Run(ctx context.Context) error {
	s.takeOver(ctx)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var background errgroup.Group
	background.Go(func() error { return s.follow.run(work) })
	background.Go(func() error { return s.beats(work) })
	background.Go(func() error { return s.clock(work) })
	background.Go(func() error { return s.probeUnreachable(work) })
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Local, s.localHandler()) })
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Peer, s.peerHandler()) })
	group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Caller, http.HandlerFunc(s.serveCaller)) })
	if s.cfg.Settings.Ready != "" {
		group.Go(func() error { return s.serve(ctx, s.cfg.Settings.Ready, s.localHandler()) })
	}
	group.Go(func() error { return s.leave(ctx) })
	err := group.Wait()
	stopWork()
	err = errors.CombineErrors(err, background.Wait())
	s.client.CloseIdle()
	s.paths.closeIdle()
	return errors.CombineErrors(err, s.meter.Close())
}

// now returns the time since the process started.
func (s *Server) now() time.Duration {
	return time.Since(s.start)
}

// clock moves the models on.
func (s *Server) clock(ctx context.Context) error {
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.expireLeases()
			s.tell(gate.ClockMsg{At: s.now()})
			s.judgeAll()
		}
	}
}

// tell hands a message to the gate and wakes those whose attempt it decides.
func (s *Server) tell(msg gate.Msg) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tellLocked(msg)
}

func (s *Server) tellLocked(msg gate.Msg) []gate.Cmd {
	model, cmds := s.gate.Update(msg)
	s.gate = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			s.wake(cmd.Ref, cmd)
		case gate.RefuseCmd:
			s.wake(cmd.Ref, cmd)
		}
	}
	return cmds
}

func (s *Server) wake(ref ledger.Ref, cmd gate.Cmd) {
	ch, ok := s.waiting[ref]
	if !ok {
		return
	}
	delete(s.waiting, ref)
	ch <- cmd
}
