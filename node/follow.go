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

// _pullMargin is what an answer may take beside its wait: a round trip takes a
// few milliseconds, and another source is asked after it.
const _pullMargin = 400 * time.Millisecond

// follower runs the spread model: its loop owns the view.
type follower struct {
	server *Server
	model  spread.Model
	hosts  atomic.Pointer[[]string] // the control hosts
	inbox  chan spread.Msg
	asks   chan ask
}

// ask calls a function with the model inside the loop.
type ask struct {
	call func(m spread.Model)
	done chan struct{}
}

func newFollower(s *Server) *follower {
	settings := s.cfg.Settings
	f := &follower{
		server: s,
		model: spread.New(spread.Config{
			Node:    settings.Name,
			Addr:    settings.PeerAddr(),
			Control: settings.ControlAddrs(),
			Seeds:   settings.Seeds,
		}),
		inbox: make(chan spread.Msg, 16),
		asks:  make(chan ask),
	}
	f.publish()
	s.fleet.rumors = func(service string) []proto.Rumor { return f.model.Rumors(service) }
	return f
}

// publish lets others read the control hosts without asking the loop.
func (f *follower) publish() {
	hosts := f.model.Control()
	f.hosts.Store(&hosts)
}

// control returns the addresses of the control hosts.
func (f *follower) control() []string {
	return *f.hosts.Load()
}

// local spreads this node's instances while no control host takes them.
func (f *follower) local(ctx context.Context, member view.Member, instances []view.Instance) {
	select {
	case f.inbox <- spread.LocalInstancesMsg{At: f.server.now(), Member: member, Instances: instances}:
	case <-ctx.Done():
	}
}

func (f *follower) run(ctx context.Context) error {
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-f.asks:
			a.call(f.model)
			close(a.done)
		case msg := <-f.inbox:
			f.update(ctx, msg)
		case <-ticker.C:
			f.update(ctx, spread.TickMsg{At: f.server.now()})
		}
	}
}

// with calls the function with the model, unless the context ends first.
func (f *follower) with(ctx context.Context, call func(m spread.Model)) bool {
	a := ask{call: call, done: make(chan struct{})}
	select {
	case f.asks <- a:
		<-a.done
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *follower) update(ctx context.Context, msg spread.Msg) {
	model, cmds := f.model.Update(msg)
	f.model = model
	f.publish()
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case spread.PullCmd:
			go f.pull(ctx, cmd)
		case spread.ViewChangedCmd:
			f.server.fleet.update(f.model.View(), cmd.Services, cmd.All)
			f.server.applied(f.model.View(), cmd)
		case spread.SourceRejectedCmd:
			f.server.log.Error("source of another fleet refused",
				slog.String("addr", cmd.Addr), slog.Uint64("cluster", cmd.Cluster))
		}
	}
}

func (f *follower) pull(ctx context.Context, cmd spread.PullCmd) {
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

// applied follows what the view says of this node's own instances.
func (s *Server) applied(v *view.View, cmd spread.ViewChangedCmd) {
	s.stats.rev.Update(float64(cmd.Rev))
	s.log.Info("view", slog.Uint64("rev", cmd.Rev), slog.Any("services", cmd.Services), slog.Bool("all", cmd.All))
	s.updateAllLimits()
	if member, ok := v.Member(s.cfg.Settings.Name); !ok || member.Epoch != s.epoch.Load() {
		s.heartbeatSoon()
	}
}
