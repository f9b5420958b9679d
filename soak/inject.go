package soak

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/damaskpitch/damaskpitch/fake"
)

const (
	_linkDelay = 60 * time.Millisecond
	// _restartDelay is how long a process stays down after a planned stop.
	_restartDelay  = 500 * time.Millisecond
	_claimInterval = 20 * time.Millisecond
)

// injector executes scheduled events. It skips an event whose target is still
// affected by an earlier one.
type injector struct {
	fleet   *fleet
	elapsed func() time.Duration
	faults  *faultTracker
	errorf  func(string, ...any)

	mu   sync.Mutex
	busy map[string]bool
	wg   sync.WaitGroup
}

// run executes each event at its scheduled time and waits for all of them to end.
func (i *injector) run(ctx context.Context, events []Event) {
	for _, e := range events {
		select {
		case <-ctx.Done():
		case <-time.After(e.At - i.elapsed()):
			i.start(ctx, e)
		}
	}
	i.wg.Wait()
}

func (i *injector) start(ctx context.Context, e Event) {
	key := e.key()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[key] {
		return
	}
	i.busy[key] = true
	i.wg.Go(func() {
		if !e.Kind.planned() {
			defer i.faults.begin()()
		}
		i.inject(ctx, e)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.busy[key] = false
	})
}

// planned reports whether the kind is a planned operation rather than a fault.
func (k Kind) planned() bool {
	return slices.Contains(_plannedKinds, k)
}

// key identifies the event's target.
func (e Event) key() string {
	target := "node"
	switch {
	case e.Kind.targetsControl():
		target = "control"
	case slices.Contains([]Kind{BackendErrors, BackendHang, BackendCorrupt, BackendLeave, BackendCrash}, e.Kind):
		target = "backend"
	case slices.Contains([]Kind{LinkDrop, LinkOneWay, LinkDelay}, e.Kind):
		target = "link"
	case e.Kind == BusyCores:
		return "cores"
	}
	return fmt.Sprint(target, e.Target)
}

func (i *injector) inject(ctx context.Context, e Event) {
	n := e.Target
	switch e.Kind {
	case NodeKill, NodeStop, NodeHandover, NodePause, NodeReload:
		i.injectNode(e)
	case ControlKill:
		i.fleet.control(n).kill()
		i.startAfter(e.For, func() error { return i.fleet.startControl(n) })
	case ControlPause:
		i.pause(i.fleet.control(n), e.For)
	case ControlStop:
		i.checkStopped(i.fleet.control(n).stop(), e)
		i.startAfter(_restartDelay, func() error { return i.fleet.startControl(n) })
	case ControlDropInbound:
		i.dropInbound(n, e.For)
	case LinkDrop:
		i.impairLink(n, e.For, fake.Link{Drop: true}, fake.Link{Drop: true})
	case LinkOneWay:
		i.impairLink(n, e.For, fake.Link{}, fake.Link{Drop: true})
	case LinkDelay:
		i.impairLink(n, e.For, fake.Link{Delay: _linkDelay}, fake.Link{})
	case LinkReset:
		i.fleet.links[n].Reset()
	case LinkSilence:
		i.fleet.links[n].Silence()
	case BusyCores:
		keepBusy(e.For)
	default:
		i.injectBackend(ctx, e)
	}
}

// claim waits until no event affects the target, and keeps further ones from it
// until the returned function is called.
func (i *injector) claim(key string) func() {
	for {
		i.mu.Lock()
		if !i.busy[key] {
			i.busy[key] = true
			i.mu.Unlock()
			return func() {
				i.mu.Lock()
				defer i.mu.Unlock()
				i.busy[key] = false
			}
		}
		i.mu.Unlock()
		time.Sleep(_claimInterval)
	}
}

// keepBusy runs busy loops on half of the cores.
func keepBusy(d time.Duration) {
	var wg sync.WaitGroup
	for range runtime.NumCPU() / 2 {
		wg.Go(func() {
			for began := time.Now(); time.Since(began) < d; {
			}
		})
	}
	wg.Wait()
}

func (i *injector) injectNode(e Event) {
	n := e.Target
	p := i.fleet.node(n)
	switch e.Kind {
	case NodeKill:
		p.kill()
		i.startAfter(e.For, func() error { return i.fleet.startNode(n) })
	case NodePause:
		i.pause(p, e.For)
	case NodeReload:
		p.signal(syscall.SIGHUP)
	case NodeStop:
		i.checkStopped(p.stop(), e)
		i.startAfter(_restartDelay, func() error { return i.fleet.startNode(n) })
	case NodeHandover:
		i.startAfter(0, func() error { return i.fleet.startNode(n) })
		time.Sleep(_handoverDelay)
		i.checkStopped(p.stop(), e)
	}
}

func (i *injector) injectBackend(ctx context.Context, e Event) {
	b := i.fleet.backend(e.Target)
	behaviour := fake.Behaviour{Delay: _responseDelay}
	switch e.Kind {
	case BackendErrors:
		behaviour.Status, behaviour.Share = 500, 0.9
	case BackendHang:
		behaviour.Fault = fake.Hang
	case BackendCorrupt:
		faults := []fake.Fault{fake.Short, fake.Cut, fake.Crossed, fake.Endless, fake.Reset}
		behaviour.Fault, behaviour.Share = faults[e.Fault%len(faults)], 0.5
	case BackendLeave:
		i.leave(ctx, e.Target, b)
		return
	case BackendCrash:
		_ = b.Crash() // the backend server is gone in either case
		i.startAfter(e.For, func() error { return i.fleet.startBackend(e.Target) })
		return
	}
	b.SetBehaviour(behaviour)
	time.Sleep(e.For)
	b.SetBehaviour(fake.Behaviour{Delay: _responseDelay})
}

// leave lets a backend server leave, checks that it gets no more requests once
// the declared grace period is over, and starts another.
func (i *injector) leave(ctx context.Context, n int, b *backendServer) {
	if err := eventually(_requestTimeout, func() error { return b.Leave(ctx) }); err != nil {
		// Its node is down, or has restarted and does not know the instance.
		b.cancel()
		i.startAfter(0, func() error { return i.fleet.startBackend(n) })
		return
	}
	time.Sleep(_grace + _inFlightTime)
	before := b.RequestCount()
	time.Sleep(_grace)
	if after := b.RequestCount(); after > before {
		i.errorf("backend server of node %d got %d requests after it had left", n+1, after-before)
	}
	b.cancel()
	i.startAfter(0, func() error { return i.fleet.startBackend(n) })
}

func (i *injector) pause(p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// checkStopped reports a graceful stop that did not exit cleanly in time.
func (i *injector) checkStopped(clean bool, e Event) {
	if !clean {
		i.errorf("%s of %d: process did not exit cleanly within %v", e.Kind, e.Target+1, _stopTimeout)
	}
}

func (i *injector) startAfter(after time.Duration, start func() error) {
	time.Sleep(after)
	if err := start(); err != nil {
		i.errorf("start process: %v", err)
	}
}

func (i *injector) impairLink(n int, d time.Duration, forward, backward fake.Link) {
	i.fleet.links[n].SetLinks(forward, backward)
	time.Sleep(d)
	i.fleet.links[n].SetLinks(fake.Link{}, fake.Link{})
}

// dropInbound drops all data on the connections that other control hosts
// open to one.
func (i *injector) dropInbound(n int, d time.Duration) {
	for pair, link := range i.fleet.controlLinks {
		if pair[1] == n {
			link.SetLinks(fake.Link{Drop: true}, fake.Link{Drop: true})
		}
	}
	time.Sleep(d)
	for pair, link := range i.fleet.controlLinks {
		if pair[1] == n {
			link.SetLinks(fake.Link{}, fake.Link{})
		}
	}
}
