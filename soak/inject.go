package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

const (
	_delayed = 60 * time.Millisecond
	// _away is how long a process is down that was ended.
	_away = 500 * time.Millisecond
)

// injector brings the events about; of two that hit the same process or backend
// server at once, the later one is left out.
type injector struct {
	w     *world
	clock func() time.Duration
	calm  *calm
	note  func(string, ...any)

	mu   sync.Mutex
	busy map[string]bool
	wg   sync.WaitGroup
}

// run brings every event about at its time and waits for the last to end.
func (i *injector) run(ctx context.Context, events []Event) {
	for _, e := range events {
		select {
		case <-ctx.Done():
		case <-time.After(e.At - i.clock()):
			i.begin(ctx, e)
		}
	}
	i.wg.Wait()
}

func (i *injector) begin(ctx context.Context, e Event) {
	key := e.key()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[key] {
		return
	}
	i.busy[key] = true
	i.wg.Go(func() {
		if !e.Kind.planned() {
			defer i.calm.disturb()()
		}
		i.inject(ctx, e)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.busy[key] = false
	})
}

// planned reports whether the event is planned work.
func (k Kind) planned() bool {
	return slices.Contains(_planned, k)
}

// key names what an event hits.
func (e Event) key() string {
	what := "node"
	switch {
	case e.Kind.onControl():
		what = "control"
	case slices.Contains([]Kind{BackendErrors, BackendHang, BackendSpoil, BackendLeave, BackendCrash}, e.Kind):
		what = "backend"
	case slices.Contains([]Kind{LinkCut, LinkOneWay, LinkDelay}, e.Kind):
		what = "link"
	}
	return fmt.Sprint(what, e.Target)
}

func (i *injector) inject(ctx context.Context, e Event) {
	n := e.Target
	switch e.Kind {
	case NodeKill, NodeStop, NodeSucceed, NodePause, NodeHangup:
		i.hitNode(e)
	case ControlKill:
		i.w.control(n).kill()
		i.restart(e.For, func() error { return i.w.startControl(n) })
	case ControlPause:
		i.pause(i.w.control(n), e.For)
	case ControlStop:
		i.stopped(i.w.control(n).stop(), e)
		i.restart(_away, func() error { return i.w.startControl(n) })
	case ControlCut:
		i.cutControl(n, e.For)
	case LinkCut:
		i.spoil(n, e.For, fake.Link{Drop: true}, fake.Link{Drop: true})
	case LinkOneWay:
		i.spoil(n, e.For, fake.Link{}, fake.Link{Drop: true})
	case LinkDelay:
		i.spoil(n, e.For, fake.Link{Delay: _delayed}, fake.Link{})
	case LinkReset:
		i.w.links[n].Reset()
	case LinkSilence:
		i.w.links[n].Silence()
	default:
		i.hitBackend(ctx, e)
	}
}

func (i *injector) hitNode(e Event) {
	n := e.Target
	p := i.w.node(n)
	switch e.Kind {
	case NodeKill:
		p.kill()
		i.restart(e.For, func() error { return i.w.startNode(n) })
	case NodePause:
		i.pause(p, e.For)
	case NodeHangup:
		p.signal(syscall.SIGHUP)
	case NodeStop:
		i.stopped(p.stop(), e)
		i.restart(_away, func() error { return i.w.startNode(n) })
	case NodeSucceed:
		i.restart(0, func() error { return i.w.startNode(n) })
		time.Sleep(_successor)
		i.stopped(p.stop(), e)
	}
}

func (i *injector) hitBackend(ctx context.Context, e Event) {
	b := i.w.backend(e.Target)
	how := fake.Behaviour{Delay: _work}
	switch e.Kind {
	case BackendErrors:
		how.Status, how.Share = 500, 0.9
	case BackendHang:
		how.Fault = fake.Hang
	case BackendSpoil:
		spoilt := []fake.Fault{fake.Short, fake.Cut, fake.Crossed, fake.Endless, fake.Reset}
		how.Fault, how.Share = spoilt[e.Fault%len(spoilt)], 0.5
	case BackendLeave:
		i.leave(ctx, e.Target, b)
		return
	case BackendCrash:
		_ = b.Crash() // it is gone either way
		i.restart(e.For, func() error { return i.w.startBackend(e.Target) })
		return
	}
	b.SetBehaviour(how)
	time.Sleep(e.For)
	b.SetBehaviour(fake.Behaviour{Delay: _work})
}

// leave lets a backend server leave: it gets no new work once the grace that
// the operators declare is over.
func (i *injector) leave(ctx context.Context, n int, b *server) {
	if err := eventually(_patient, func() error { return b.Leave(ctx) }); err != nil {
		// Its node is down, or has started since and does not know it.
		b.end()
		i.restart(0, func() error { return i.w.startBackend(n) })
		return
	}
	time.Sleep(_grace + _late)
	before := b.RequestCount()
	time.Sleep(_grace)
	if after := b.RequestCount(); after > before {
		i.note("backend server beside node %d got %d requests after it had left", n+1, after-before)
	}
	b.end()
	i.restart(0, func() error { return i.w.startBackend(n) })
}

func (i *injector) pause(p *proc, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// stopped notes a planned stop that did not end well.
func (i *injector) stopped(well bool, e Event) {
	if !well {
		i.note("%s of %d did not end by itself within %v", e.Kind, e.Target+1, _stopTime)
	}
}

func (i *injector) restart(after time.Duration, start func() error) {
	time.Sleep(after)
	if err := start(); err != nil {
		i.note("restart: %v", err)
	}
}

func (i *injector) spoil(n int, d time.Duration, there, back fake.Link) {
	i.w.links[n].SetLinks(there, back)
	time.Sleep(d)
	i.w.links[n].SetLinks(fake.Link{}, fake.Link{})
}

// cutControl keeps what other control hosts send from reaching one.
func (i *injector) cutControl(n int, d time.Duration) {
	for pair, link := range i.w.mesh {
		if pair[1] == n {
			link.SetLinks(fake.Link{Drop: true}, fake.Link{Drop: true})
		}
	}
	time.Sleep(d)
	for pair, link := range i.w.mesh {
		if pair[1] == n {
			link.SetLinks(fake.Link{}, fake.Link{})
		}
	}
}
