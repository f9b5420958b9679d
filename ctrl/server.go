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
	"github.com/damaskpitch/damaskpitch/meter"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_headerTimeout = 5 * time.Second
	_stopTimeout   = 5 * time.Second
	_handover      = time.Second
	_clockInterval = time.Second
)

// Config sets up a control daemon.
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
	groups  map[uint32]*group // those that this host holds
	fleet   *group
	replica *Replica // of the fleet's group
	client  *wire.Client
	outbox  *outbox

	stopOutbox context.CancelFunc
	meter      meter.Meter
	stats      stats
	membership *membership
	ctx        context.Context //nolint:containedctx // ends with the process
	leads      chan struct{}
	turn       atomic.Uint32
}

// New opens the data folder and returns the daemon.
func New(ctx context.Context, cfg Config) (*Server, error) {
	full := func(on bool) { cfg.Logger.Warn("disk full", slog.Bool("full", on)) }
	d, err := disk.Open(disk.Config{Folder: cfg.Settings.Data, OnFull: full})
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:    cfg,
		log:    cfg.Logger.With(slog.String("host", cfg.Settings.Name)),
		disk:   d,
		start:  time.Now(),
		groups: map[uint32]*group{},
		client: wire.NewClient(cfg.Settings.Key, proto.Codec),
		meter:  meter.New("control"),
		ctx:    ctx,
		leads:  make(chan struct{}, 1),
	}
	s.stats = newStats(s.meter.Scope)
	for _, h := range cfg.Settings.Hosts {
		s.hosts = append(s.hosts, place.Host{Name: h.Name, Center: h.Center})
	}
	// Replication goes on until the replicas have handed over.
	outboxCtx, stopOutbox := context.WithCancel(context.WithoutCancel(ctx))
	s.stopOutbox = stopOutbox
	s.outbox = newOutbox(outboxCtx, s.client)
	s.membership = newMembership(s)
	if err := s.openGroups(); err != nil {
		stopOutbox()
		return nil, errors.CombineErrors(err, d.Close())
	}
	return s, nil
}

// openGroups opens the fleet's group and the groups of claims that this host
// holds, by its settings or by what its data folder says.
func (s *Server) openGroups() error {
	for id := place.FleetGroup; id <= s.cfg.Settings.ClaimGroups(); id++ {
		g, err := newGroup(s, id)
		if err != nil {
			return err
		}
		if id == place.FleetGroup || g.votes() || g.belongs() {
			s.groups[id] = g
		}
	}
	s.fleet = s.groups[place.FleetGroup]
	s.replica = s.fleet.replica
	return s.checkGroups()
}

// checkGroups compares the settings with the number of groups that the fleet
// was founded with: another number would send keys to other groups.
func (s *Server) checkGroups() error {
	var founded uint32
	s.replica.Read(func(m store.Model) { founded = m.View().Groups })
	if founded == 0 || founded == s.cfg.Settings.ClaimGroups() {
		return nil
	}
	return &spec.FieldError{
		Field: "Control.groups",
		Value: strconv.FormatUint(uint64(s.cfg.Settings.ClaimGroups()), 10),
		Want:  strconv.FormatUint(uint64(founded), 10) + ", the number that the fleet was founded with",
	}
}

// Run serves until the context ends; then it hands over leadership, finishes
// what is in flight and closes the data folder.
func (s *Server) Run(ctx context.Context) error {
	replicaCtx, stopReplica := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReplica()
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, ctx := errgroup.WithContext(ctx)
	var replica errgroup.Group
	for _, g := range s.groups {
		replica.Go(func() error { return g.replica.Run(replicaCtx) })
		group.Go(func() error { return g.boot(ctx) })
		if g != s.fleet {
			group.Go(func() error { return g.maintain(ctx) })
		}
	}
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.Peer, s.peerHandler()) })
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.API, s.apiHandler()) })
	group.Go(func() error { return s.leaderLoop(ctx) })
	group.Go(func() error {
		defer stopServing()
		return s.watchReplicas(ctx)
	})
	err := group.Wait()
	stopReplica()
	if failed := replica.Wait(); failed != nil {
		err = failed
	}
	s.stopOutbox()
	s.outbox.wg.Wait()
	s.client.CloseIdle()
	err = errors.CombineErrors(err, s.meter.Close())
	return errors.CombineErrors(err, s.disk.Close())
}

// watchReplicas ends the daemon when one of its replicas has failed.
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
		s.handOver()
		return nil
	case <-failed:
		return ErrStopped
	}
}

func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), _handover)
	defer cancel()
	var groups errgroup.Group
	for _, g := range s.groups {
		groups.Go(func() error {
			g.handOver(ctx)
			return nil
		})
	}
	_ = groups.Wait()
}

func (s *Server) leading() bool {
	return s.fleet.leading()
}

// serve runs one listener until the context ends, and then finishes what is
// in flight.
func (s *Server) serve(ctx context.Context, addr string, h http.Handler) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Errorf("listen on %s: %w", addr, err)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: _headerTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	var stopped sync.WaitGroup
	stop := context.AfterFunc(ctx, func() {
		stopped.Add(1)
		defer stopped.Done()
		stopCtx, cancel := context.WithTimeout(context.Background(), _stopTimeout)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	})
	defer stop()
	err = server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		stopped.Wait()
		return nil
	}
	return errors.Errorf("serve on %s: %w", addr, err)
}
