package ctrl

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/disk"
	"github.com/damaskpitch/damaskpitch/meter"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_fleet         uint32 = 0
	_headerTimeout        = 5 * time.Second
	_stopTimeout          = 5 * time.Second
	_handover             = time.Second
	_clockInterval        = time.Second
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
	replica *Replica
	client  *wire.Client
	post    *post

	stopPost context.CancelFunc
	meter    meter.Meter
	roll     *roll
	ctx      context.Context //nolint:containedctx // ends with the process
	leads    chan struct{}
}

// New opens the data folder and returns the daemon.
func New(ctx context.Context, cfg Config) (*Server, error) {
	d, err := disk.Open(disk.Config{Folder: cfg.Settings.Data})
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:    cfg,
		log:    cfg.Logger.With(slog.String("host", cfg.Settings.Name)),
		disk:   d,
		client: wire.NewClient(cfg.Settings.Key, proto.Codec),
		meter:  meter.New("control"),
		ctx:    ctx,
		leads:  make(chan struct{}, 1),
	}
	// Replication goes on until the replica has handed over.
	postCtx, stopPost := context.WithCancel(context.WithoutCancel(ctx))
	s.stopPost = stopPost
	s.post = newPost(postCtx, s.client)
	s.roll = newRoll(s)
	cfg.Raft.ID = d.ID()
	s.replica, err = NewReplica(ReplicaConfig{
		Group:  _fleet,
		Disk:   d,
		Send:   func(to raft.Peer, letter raft.Letter) { s.post.send(s.addrOf(to), letter) },
		Lead:   s.signalLead,
		Logger: s.log,
		Store:  cfg.Store,
		Raft:   cfg.Raft,
	})
	if err != nil {
		stopPost()
		return nil, errors.CombineErrors(err, d.Close())
	}
	return s, nil
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
	replica.Go(func() error { return s.replica.Run(replicaCtx) })
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.Peer, s.peerHandler()) })
	group.Go(func() error { return s.serve(serveCtx, s.cfg.Settings.API, s.apiHandler()) })
	group.Go(func() error { return s.boot(ctx) })
	group.Go(func() error { return s.govern(ctx) })
	group.Go(func() error {
		defer stopServing()
		return s.watchReplica(ctx)
	})
	err := group.Wait()
	stopReplica()
	err = errors.CombineErrors(err, replica.Wait())
	s.stopPost()
	s.post.wg.Wait()
	s.client.Forget()
	err = errors.CombineErrors(err, s.meter.Close())
	return errors.CombineErrors(err, s.disk.Close())
}

// watchReplica ends the daemon when its replica has failed.
func (s *Server) watchReplica(ctx context.Context) error {
	select {
	case <-ctx.Done():
		s.handOver()
		return nil
	case <-s.replica.done:
		return ErrStopped
	}
}

// handOver gives leadership to another host before a planned stop.
func (s *Server) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), _handover)
	defer cancel()
	for ctx.Err() == nil && s.leading() && len(s.replica.Status().Peers) > 1 {
		_ = s.replica.Tell(ctx, raft.TransferMsg{})
		time.Sleep(_tick)
	}
}

func (s *Server) leading() bool {
	return s.replica.Status().Leader == s.disk.ID()
}

// govern does the leader's work: it names the fleet, moves log time on and
// watches the members.
func (s *Server) govern(ctx context.Context) error {
	ticker := time.NewTicker(_clockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.leads:
			s.roll.reset(s.leading())
		case <-ticker.C:
			if !s.leading() {
				continue
			}
			s.rule(ctx)
		}
	}
}

// rule does one turn of the leader's work; a turn that cannot finish is cut
// short, since leadership may have gone.
func (s *Server) rule(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _apiTimeout)
	defer cancel()
	s.identify(ctx)
	_, _ = s.replica.Submit(ctx, store.Clock{})
	s.roll.check(ctx)
}

// signalLead tells the governing loop that leadership changed; it must never
// hold up the replica.
func (s *Server) signalLead() {
	select {
	case s.leads <- struct{}{}:
	default:
	}
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
