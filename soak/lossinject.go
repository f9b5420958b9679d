package soak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// _confirmWait is how long an event waits for a change to be confirmed.
	_confirmWait = time.Second
	// _restartShare is the share of a lost host's time away that the others take.
	_restartShare = _maxLossTime / _maxRestartTime
)

// lossInjector executes events of control hosts that may be lost together.
type lossInjector struct {
	*injector
	ops    *operators
	budget *budget
	stalls *stallWatch
	notef  func(string, ...any)
	wg     sync.WaitGroup
}

// loss is an event in progress.
type loss struct {
	Event
	targets, others []int
	names           []string          // of the targets before the event
	before          map[string]uint64 // by host name: the identity of its data
	release         []func()
}

// run executes the events one after another until the run's time is over, and
// returns how many took place.
func (l *lossInjector) run(ctx context.Context, events []Event) int {
	n := 0
	for ; n < len(events); n++ {
		e := events[n]
		ls, ok := l.prepare(ctx, e)
		if !ok {
			break
		}
		done := make(chan struct{})
		l.wg.Go(func() {
			defer close(done)
			l.lose(ctx, ls)
		})
		if !e.is(_chained) {
			<-done
			l.checkWrite(ctx)
		}
	}
	l.wg.Wait()
	if len(events) > 0 {
		l.checkWrite(ctx)
	}
	return n
}

// prepare waits until the event may occur and chooses its targets.
func (l *lossInjector) prepare(ctx context.Context, e Event) (*loss, bool) {
	ls := &loss{Event: e}
	n := 1
	switch {
	case e.Kind == Blackout:
		n = 0
	case e.Kind.targetsPair():
		n = 2
	}
	all := n
	if e.Kind.killsOthers() {
		all = l.budget.hosts
	}
	if !l.budget.wait(ctx, all) {
		return nil, false
	}
	// A script is executed whole, however long the machine stalls between its events.
	if l.fleet.cfg.script == nil && l.elapsed() > l.fleet.cfg.For {
		return nil, false
	}
	time.Sleep(e.At)
	preferred := []int{e.Target, e.second(l.budget.hosts)}
	var leader string
	ls.before, leader = l.identities()
	if k := l.slotOf(leader); e.is(_hitsLeader) && k >= 0 {
		preferred = slices.Insert(preferred, 0, k)
	}
	ls.targets = l.budget.take(n, preferred...)
	for _, host := range ls.targets {
		ls.names = append(ls.names, l.fleet.controlSettings(host).Name)
	}
	if e.Kind.killsOthers() {
		ls.others = l.budget.takeRest()
	}
	if e.Kind == ControlReplace && !l.budget.mayReplace(ls.targets[0]) {
		ls.Kind = DiskLoss
	}
	if e.Kind.killsNodes() {
		for node := range l.fleet.nodes {
			ls.release = append(ls.release, l.claim(Event{Kind: NodeKill, Target: node}.key()))
		}
	}
	if e.is(_afterConfirm) {
		l.ops.awaitConfirmed(_confirmWait)
	}
	return ls, true
}

// identities returns the identity of each control host's data by the host's name,
// and the name of the leader.
func (l *lossInjector) identities() (map[string]uint64, string) {
	ids := map[string]uint64{}
	for _, host := range l.budget.counted() {
		status, err := l.ops.localStatus(host)
		if err != nil || status.Leader == "" {
			continue
		}
		for _, h := range status.Hosts {
			ids[h.Name] = h.ID
		}
		return ids, status.Leader
	}
	return ids, ""
}

// slotOf returns the number of the control host with the name, or -1.
func (l *lossInjector) slotOf(name string) int {
	for n := range l.budget.hosts {
		if l.fleet.controlSettings(n).Name == name {
			return n
		}
	}
	return -1
}

// lose executes one event, and checks after the time to catch up that its targets
// vote.
func (l *lossInjector) lose(ctx context.Context, ls *loss) {
	defer l.faults.begin()()
	defer l.budget.giveBack(slices.Concat(ls.targets, ls.others))
	if ls.is(_quiet) {
		defer l.ops.pause()()
	}
	l.notef("%s of %v, identities %v, for %v, confirm %t, quiet %t, chained %t",
		ls.Kind, ls.names, ls.before, ls.For.Round(time.Millisecond), ls.is(_afterConfirm), ls.is(_quiet), ls.is(_chained))
	l.strike(ls)
	l.notef("%s of %v: all are back", ls.Kind, ls.names)
	l.stalls.await(ctx, _catchUpTime)
	if ctx.Err() == nil {
		l.checkVoters(ls)
	}
}

// strike executes the event and returns when all its hosts are back.
func (l *lossInjector) strike(ls *loss) {
	switch {
	case ls.Kind == ControlPause:
		l.pause(l.fleet.control(ls.targets[0]), ls.For)
	case ls.Kind == ControlStop, ls.Kind == ControlReplace && ls.is(_terminates):
		l.checkStopped(l.fleet.control(ls.targets[0]).stop(), Event{Kind: ls.Kind, Target: ls.targets[0]})
	default:
		l.killAtOnce(ls)
	}
	if ls.Kind == ControlPause {
		return
	}
	if ls.Kind == ControlReplace {
		l.fleet.replaceControl(ls.targets[0])
	}
	l.startAll(ls)
}

// killAtOnce kills all processes of the event.
func (l *lossInjector) killAtOnce(ls *loss) {
	var procs []*process
	for _, n := range slices.Concat(ls.targets, ls.others) {
		procs = append(procs, l.fleet.control(n))
	}
	if ls.Kind.killsNodes() {
		for n := range l.fleet.nodes {
			procs = append(procs, l.fleet.node(n))
		}
	}
	for _, p := range procs {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.done
	}
}

// startAll starts the processes of the event again, and returns when the last runs.
func (l *lossInjector) startAll(ls *loss) {
	var wg sync.WaitGroup
	for _, n := range ls.targets {
		if ls.Kind.losesDisk() {
			if err := l.fleet.loseDisk(n); err != nil {
				l.errorf("%v", err)
			}
		}
		wg.Go(func() { l.startAfter(ls.For, func() error { return l.fleet.startControl(n) }) })
	}
	for _, n := range ls.others {
		wg.Go(func() { l.startAfter(ls.For/_restartShare, func() error { return l.fleet.startControl(n) }) })
	}
	if ls.Kind.killsNodes() {
		for n := range l.fleet.nodes {
			wg.Go(func() {
				l.startAfter(ls.For/_restartShare, func() error { return l.fleet.startNode(n) })
				ls.release[n]()
			})
		}
	}
	wg.Wait()
}
