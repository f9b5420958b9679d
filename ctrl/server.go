package ctrl

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/meter"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_headerTimeout   = 5 * time.Second
	_shutdownTimeout = 5 * time.Second
	_transferTimeout = time.Second
	_clockInterval   = time.Second
	// _maxHeaderBytes is the maximum size of a request's header.
	_maxHeaderBytes = 64 << 10
)

// Config configures a Server.
type Config struct {
	Settings config.Control
	Logger   *slog.Logger
	Store    store.Config
	Raft     raft.Config
}

// Server is one control daemon.
type Server struct {
	cfg     Config
	log     *slog.Logger
	disk    *disk.Disk
	start   time.Time
	hosts   []place.Host
	groups  map[uint32]*group // groups that this host holds
	fleet   *group
	replica *Replica // of the fleet group
	client  *wire.Client
	outbox  *outbox
	flows   *flow.Table

	stopOutbox    context.CancelFunc
	meter         meter.Meter
	stats         stats
	heads         *heads.Pool
	membership    *membership
	quotas        *quotas
	reads         sharedReads // of reports
	flowBoard     flowBoard
	ctx           context.Context //nolint:containedctx // lives as long as the process
	leaderChanged chan struct{}
	nextVoter     atomic.Uint32
}

// New opens the data folder and returns a Server.
func New(ctx context.Context, cfg Config) (*Server, error) {
	onFull := func(full bool) { cfg.Logger.Warn("disk full state changed", slog.Bool("full", full)) }
	d, err := disk.Open(disk.Config{Folder: cfg.Settings.Data, OnFull: onFull})
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:           cfg,
		log:           cfg.Logger.With(slog.String("host", cfg.Settings.Name)),
		disk:          d,
		start:         time.Now(),
		groups:        map[uint32]*group{},
		client:        wire.NewClient(cfg.Settings.Key, proto.Codec),
		meter:         meter.New("control"),
		ctx:           ctx,
		leaderChanged: make(chan struct{}, 1),
	}
	s.stats = newStats(s.meter.Scope)
	s.flows = flow.NewTable(cfg.Settings.Center, s.meter.Scope)
	s.client.CountFlows(s.flows, proto.CauseOf)
	s.heads = heads.NewPool(cfg.Settings.Heads.WithDefaults(cfg.Settings.Memory).Pool(), heads.NewRecorder(s.meter.Scope, s.log))
	s.log.Info("data folder opened", slog.Uint64("id", d.ID()), slog.Bool("created", d.Created()))
	for _, h := range cfg.Settings.Hosts {
		s.hosts = append(s.hosts, place.Host{Name: h.Name, Center: h.Center})
	}
	// Replication continues until the replicas have transferred their leadership.
	outboxCtx, stopOutbox := context.WithCancel(context.WithoutCancel(ctx))
	s.stopOutbox = stopOutbox
	s.outbox = newOutbox(outboxCtx, s.client, s.receive)
	s.membership = newMembership(s)
	s.quotas = newQuotas(s)
	s.reads.read = s.readAtLeader
	if err := s.openGroups(); err != nil {
		stopOutbox()
		return nil, errors.CombineErrors(err, d.Close())
	}
	return s, nil
}

// openGroups opens the fleet group and the claim groups that this host holds,
// according to its settings or its data folder.
func (s *Server) openGroups() error {
	for id := place.FleetGroup; id <= s.cfg.Settings.ClaimGroups(); id++ {
		g, err := newGroup(s, id)
		if err != nil {
			return err
		}
		if id == place.FleetGroup || g.shouldVote() || g.isMember() {
			s.groups[id] = g
		}
	}
	s.fleet = s.groups[place.FleetGroup]
	s.replica = s.fleet.replica
	return s.checkGroups()
}

// checkGroups requires the number of claim groups in the settings to be the one that
// the fleet was bootstrapped with. Another number would map keys to other groups.
func (s *Server) checkGroups() error {
	var bootstrapped uint32
	s.replica.Read(func(m store.Model) { bootstrapped = m.View().Groups })
	if bootstrapped == 0 || bootstrapped == s.cfg.Settings.ClaimGroups() {
		return nil
	}
	return &spec.FieldError{
		Field: "Control.groups",
		Value: strconv.FormatUint(uint64(s.cfg.Settings.ClaimGroups()), 10),
		Want:  strconv.FormatUint(uint64(bootstrapped), 10) + ", the number that the fleet was bootstrapped with",
	}
}

// Run serves until the context is done. It then transfers leadership, finishes
// requests in flight and closes the data folder.
func (s *Server) Run(ctx context.Context) error {
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, ctx := errgroup.WithContext(ctx)
	var replicas errgroup.Group
	for _, g := range s.groups {
		replicas.Go(func() error { return g.replica.Run(replicaCtx) })
		group.Go(func() error { return g.bootstrap(ctx) })
		if g != s.fleet {
			group.Go(func() error { return g.maintain(ctx) })
		}
	}
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.Peer, s.peerHandler()) })
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.API, s.apiHandler()) })
	group.Go(func() error { return s.leaderLoop(ctx) })
	group.Go(func() error { return s.quotas.runStandings(ctx) })
	group.Go(func() error { return s.flows.RunLog(serveCtx, s.log) })
	group.Go(func() error {
		defer stopServing()
		return s.watchReplicas(ctx)
	})
	err := group.Wait()
	stopReplica()
	if failed := replicas.Wait(); failed != nil {
		err = failed
	}
	s.stopOutbox()
	s.outbox.wg.Wait()
	s.client.CloseIdle()
	err = errors.CombineErrors(err, s.meter.Close())
	return errors.CombineErrors(err, s.disk.Close())
}

// watchReplicas returns an error when a replica fails. When the context is done, it
// transfers leadership and returns.
func (s *Server) watchReplicas(ctx context.Context) error {
	failed := make(chan struct{}, 1)
	for _, g := range s.groups {
		go func() {
			<-g.replica.done
			select {
			case failed <- struct{}{}:
			default:
			}
		}()
	}
	select {
	case <-ctx.Done():
		s.transferLeadership()
		return nil
	case <-failed:
		return ErrStopped
	}
}

func (s *Server) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), _transferTimeout)
	defer cancel()
	var groups errgroup.Group
	for _, g := range s.groups {
		groups.Go(func() error {
			g.transferLeadership(ctx)
			return nil
		})
	}
	_ = groups.Wait()
}

func (s *Server) isLeader() bool {
	return s.fleet.isLeader()
}

// serve runs an HTTP server until the context is done, and then finishes requests in
// flight.
func (s *Server) serve(ctx context.Context, addr string, h http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Errorf("listen on %s: %w", addr, err)
	}
	server := &http.Server{
		Handler:           h,
		ConnState:         heads.TrackState,
		ReadHeaderTimeout: _headerTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	var stopped sync.WaitGroup
	stop := context.AfterFunc(ctx, func() {
		stopped.Add(1)
		defer stopped.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), _shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	})
	defer stop()
	err = server.Serve(s.heads.Listener(listener))
	if errors.Is(err, http.ErrServerClosed) {
		stopped.Wait()
		return nil
	}
	return errors.Errorf("serve on %s: %w", addr, err)
}
