package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spread"
	"github.com/damaskpitch/damaskpitch/view"
)

// _pullMargin is how long the reply to a pull may take beyond the requested wait
// before another source is asked. A round trip takes a few milliseconds.
const _pullMargin = 400 * time.Millisecond

// viewSync runs the spread model, which keeps the view up to date. Only its loop
// accesses the model.
type viewSync struct {
	server       *Server
	model        spread.Model
	controlHosts atomic.Pointer[[]string] // addresses, readable outside the loop
	inbox        chan spread.Msg
	calls        chan modelCall
}

// modelCall is a function to be called with the model inside the loop.
type modelCall struct {
	call func(m spread.Model)
	done chan struct{}
}

func newViewSync(s *Server) *viewSync {
	settings := s.cfg.Settings
	f := &viewSync{
		server: s,
		model: spread.New(spread.Config{
			Node:    settings.Name,
			Addr:    settings.PeerAddr(),
			Control: settings.ControlAddrs(),
			Seeds:   settings.Seeds,
		}),
		inbox: make(chan spread.Msg, 16),
		calls: make(chan modelCall),
	}
	f.publishControlHosts()
	s.fleet.rumors = func(service string) []proto.Rumor { return f.model.Rumors(service) }
	return f
}

// publishControlHosts makes the addresses of the control hosts readable outside
// the loop.
func (f *viewSync) publishControlHosts() {
	hosts := f.model.Control()
	f.controlHosts.Store(&hosts)
}

// controlAddrs returns the addresses of the control hosts.
func (f *viewSync) controlAddrs() []string {
	return *f.controlHosts.Load()
}

// announceLocal passes this node's instances to the spread model, which tells other
// nodes of them while no control host accepts them.
func (f *viewSync) announceLocal(ctx context.Context, member view.Member, instances []view.Instance) {
	select {
	case f.inbox <- spread.LocalInstancesMsg{At: f.server.now(), Member: member, Instances: instances}:
	case <-ctx.Done():
	}
}

func (f *viewSync) run(ctx context.Context) error {
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-f.calls:
			a.call(f.model)
			close(a.done)
		case msg := <-f.inbox:
			f.update(ctx, msg)
		case <-ticker.C:
			f.update(ctx, spread.TickMsg{At: f.server.now()})
		}
	}
}

// withModel calls the function with the model inside the loop. It returns false if
// the context ends first.
func (f *viewSync) withModel(ctx context.Context, call func(m spread.Model)) bool {
	a := modelCall{call: call, done: make(chan struct{})}
	select {
	case f.calls <- a:
		<-a.done
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *viewSync) update(ctx context.Context, msg spread.Msg) {
	model, cmds := f.model.Update(msg)
	f.model = model
	f.publishControlHosts()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case spread.PullCmd:
			go f.pull(ctx, cmd)
		case spread.ViewChangedCmd:
			f.server.fleet.update(f.model.View(), cmd.Services, cmd.All)
			f.server.viewChanged(f.model.View(), cmd)
		case spread.SourceRejectedCmd:
			f.server.log.Error("rejected a view source of another fleet",
				slog.String("addr", cmd.Addr), slog.Uint64("cluster", cmd.Cluster))
		}
	}
}

func (f *viewSync) pull(ctx context.Context, cmd spread.PullCmd) {
	callCtx, cancel := context.WithTimeout(ctx, cmd.Pull.Wait+_pullMargin)
	defer cancel()
	reply, err := f.server.client.Call(callCtx, cmd.Addr, cmd.Pull)
	var msg spread.Msg = spread.PullFailedMsg{At: f.server.now(), Source: cmd.Source, Addr: cmd.Addr}
	if delta, ok := reply.(proto.Delta); ok && err == nil {
		msg = spread.DeltaMsg{At: f.server.now(), Source: cmd.Source, Addr: cmd.Addr, Delta: delta}
	}
	select {
	case f.inbox <- msg:
	case <-ctx.Done():
	}
}

// viewChanged applies a new view to this node's own instances, and sends a
// heartbeat early if the view does not have this node's current epoch.
func (s *Server) viewChanged(v *view.View, cmd spread.ViewChangedCmd) {
	s.stats.rev.Update(float64(cmd.Rev))
	s.log.Info("view updated", slog.Uint64("rev", cmd.Rev), slog.Any("services", cmd.Services), slog.Bool("all", cmd.All))
	s.limitAll()
	if member, ok := v.Member(s.cfg.Settings.Name); !ok || member.Epoch != s.epoch.Load() {
		s.hurry()
	}
}
