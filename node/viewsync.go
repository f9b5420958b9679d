package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/damaskpitch/damaskpitch/access"
	"github.com/damaskpitch/damaskpitch/flow"
	"github.com/damaskpitch/damaskpitch/gossip"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	// _pullMargin is how long the reply to a pull may take beyond the requested wait to
	// begin before another source is asked. A round trip takes a few milliseconds.
	_pullMargin = 400 * time.Millisecond
	// _pullSilence is how long the rest of a reply may take to go on arriving. A lost
	// packet is sent again within that time.
	_pullSilence = time.Second
	// _progressInterval is the time between two reports of progress to the model.
	_progressInterval = 100 * time.Millisecond
	// _maxViewReply is the maximum size in bytes of a reply that carries the whole view.
	_maxViewReply = 64 << 20
)

// _minTickDelay is the shortest time between two ticks of the gossip model.
const _minTickDelay = 5 * time.Millisecond

// viewSync runs the gossip model, which keeps the view up to date. Once the loop runs,
// only it accesses the model.
type viewSync struct {
	server       *Server
	model        gossip.Model
	controlHosts atomic.Pointer[[]string] // addresses, readable outside the loop
	currentHost  atomic.Pointer[string]   // the one that is current, or "", likewise
	inbox        chan gossip.Msg
	calls        chan modelCall
	silent       map[string]bool // control hosts whose last pull failed
	customers    *access.Table   // whose largest have counters of their own
}

// modelCall is a function to be called with the model inside the loop.
type modelCall struct {
	call func(m gossip.Model)
	done chan struct{}
}

func newViewSync(s *Server) *viewSync {
	settings := s.cfg.Settings
	v := &viewSync{
		server: s,
		model: gossip.New(gossip.Config{
			Node:    settings.Name,
			Addr:    settings.PeerAddr(),
			Center:  settings.Center,
			Control: settings.ControlAddrs(),
			Seeds:   settings.Seeds,
		}),
		inbox:  make(chan gossip.Msg, 16),
		calls:  make(chan modelCall),
		silent: map[string]bool{},
	}
	v.publishControlHosts()
	s.fleet.rumors = func(service string) []proto.Rumor { return v.model.Rumors(service) }
	return v
}

// publishControlHosts makes the addresses of the control hosts readable outside
// the loop.
func (v *viewSync) publishControlHosts() {
	hosts, current := v.model.Control(), v.model.CurrentHost()
	v.controlHosts.Store(&hosts)
	v.currentHost.Store(&current)
}

// controlAddrs returns the addresses of the control hosts.
func (v *viewSync) controlAddrs() []string {
	return *v.controlHosts.Load()
}

// announceLocal passes this node's instances to the gossip model, which tells other
// nodes of them while no control host accepts them.
func (v *viewSync) announceLocal(ctx context.Context, member view.Member, instances []view.Instance) {
	select {
	case v.inbox <- gossip.LocalInstancesMsg{At: v.server.now(), Member: member, Instances: instances}:
	case <-ctx.Done():
	}
}

// addRumor adds a rumor that another node has sent unasked, or this one keeps itself.
func (v *viewSync) addRumor(ctx context.Context, r proto.Rumor) {
	v.report(ctx, gossip.RumorMsg{At: v.server.now(), Rumor: r})
}

func (v *viewSync) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-v.calls:
			c.call(v.model)
			close(c.done)
		case msg := <-v.inbox:
			v.update(ctx, msg)
		case <-timer.C:
		}
		// The model may act on what it has learned, and sets the next time to do so.
		v.update(ctx, gossip.TickMsg{At: v.server.now()})
		timer.Reset(max(_minTickDelay, v.model.NextTick()-v.server.now()))
	}
}

// withModel calls the function with the model inside the loop. It returns false if
// the context ends first.
func (v *viewSync) withModel(ctx context.Context, call func(m gossip.Model)) bool {
	c := modelCall{call: call, done: make(chan struct{})}
	select {
	case v.calls <- c:
		<-c.done
		return true
	case <-ctx.Done():
		return false
	}
}

func (v *viewSync) update(ctx context.Context, msg gossip.Msg) {
	model, cmds := v.model.Update(msg)
	v.model = model
	v.publishControlHosts()
	v.logControlHost(msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gossip.PullCmd:
			go v.pull(ctx, cmd)
		case gossip.ViewChangedCmd:
			v.server.fleet.update(v.model.View(), cmd.Services, cmd.All)
			v.nameCustomers()
			v.server.viewChanged(v.model, cmd, msg)
		case gossip.SourceRejectedCmd:
			v.server.log.Error("rejected a view source of another cluster",
				slog.String("addr", cmd.Addr), slog.Uint64("cluster", cmd.Cluster))
		}
	}
}

// nameCustomers gives the largest customers counters of their own when the list of
// customers has changed.
func (v *viewSync) nameCustomers() {
	if table := v.server.fleet.customerTable(); table != v.customers {
		v.customers = table
		v.server.nameLargest(v.model.View().Plan.Customers)
	}
}

func (v *viewSync) pull(ctx context.Context, cmd gossip.PullCmd) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(cmd.Pull.Wait+_pullMargin, cancel)
	defer silence.Stop()
	var progressAt time.Duration
	cause := flow.Pull
	if cmd.Source == gossip.Peer {
		cause = flow.Gossip
	}
	reply, err := v.server.client.CallWith(callCtx, cmd.Addr, cmd.Pull, wire.CallOptions{
		Cause:    cause,
		NewConn:  cmd.NewConn,
		MaxReply: _maxViewReply,
		OnProgress: func() {
			silence.Reset(_pullSilence)
			now := v.server.now()
			if progressAt > 0 && now < progressAt+_progressInterval {
				return
			}
			if progressAt > 0 {
				v.report(ctx, gossip.PullProgressMsg{At: now, Source: cmd.Source, Addr: cmd.Addr})
			}
			progressAt = now
		},
	})
	var msg gossip.Msg = gossip.PullFailedMsg{At: v.server.now(), Source: cmd.Source, Addr: cmd.Addr}
	if delta, ok := reply.(proto.Delta); ok && err == nil {
		msg = gossip.DeltaMsg{At: v.server.now(), Source: cmd.Source, Addr: cmd.Addr, Delta: delta, Center: v.server.client.CenterOf(cmd.Addr)}
	}
	v.report(ctx, msg)
}

// report passes a message to the loop.
func (v *viewSync) report(ctx context.Context, msg gossip.Msg) {
	select {
	case v.inbox <- msg:
	case <-ctx.Done():
	}
}

// logControlHost logs when a control host stops or starts replying to pulls.
func (v *viewSync) logControlHost(msg gossip.Msg) {
	switch msg := msg.(type) {
	case gossip.PullFailedMsg:
		if msg.Source == gossip.Control && !v.silent[msg.Addr] {
			v.silent[msg.Addr] = true
			v.server.log.Warn("control host does not reply", slog.String("addr", msg.Addr))
		}
	case gossip.DeltaMsg:
		if msg.Source == gossip.Control && v.silent[msg.Addr] {
			delete(v.silent, msg.Addr)
			v.server.log.Info("control host replies again", slog.String("addr", msg.Addr), slog.Bool("current", msg.Delta.Current))
		}
	}
}

// viewChanged applies a new view to this node's own instances, and sends a
// heartbeat early if the view does not have this node's current epoch.
func (s *Server) viewChanged(m gossip.Model, cmd gossip.ViewChangedCmd, cause gossip.Msg) {
	v := m.View()
	s.stats.rev.Update(float64(cmd.Rev))
	s.stats.plan.Update(float64(v.Plan.Version))
	attrs := []slog.Attr{
		slog.Uint64("rev", cmd.Rev), slog.Uint64("plan", v.Plan.Version),
		slog.Any("services", cmd.Services), slog.Bool("all", cmd.All),
	}
	if delta, ok := cause.(gossip.DeltaMsg); ok {
		attrs = append(attrs, slog.String("source", delta.Source.String()),
			slog.String("addr", delta.Addr), slog.Bool("current", delta.Delta.Current))
	}
	s.log.LogAttrs(context.Background(), slog.LevelInfo, "view updated", attrs...)
	s.updateAllLimits()
	s.endEjections(v)
	s.testifyToBans()
	s.learnDepartures(m.Departures())
	if member, ok := v.Member(s.cfg.Settings.Name); !ok || member.Epoch != s.epoch.Load() {
		s.heartbeatSoon()
	}
}
