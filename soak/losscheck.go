package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/raft"
)

// _confirmTimeout is how long a change may take to be confirmed while no control
// host is lost.
const _confirmTimeout = 4 * time.Second

// checkVoters checks, with one read, that the event's targets vote with the right
// data, and that no others do if no host is lost by another event.
func (l *lossInjector) checkVoters(ls *loss) {
	began := l.elapsed()
	taken := len(ls.targets) + len(ls.others)
	alone := l.budget.lostCount() == taken
	var status ctrl.FleetStatus
	hosts := slices.Concat(l.budget.counted(), ls.others, ls.targets)
	err := errors.New("not read")
	// A read may be refused while a leader is elected.
	for n := 0; err != nil && l.elapsed() < began+_confirmTimeout; n++ {
		if n > 0 {
			time.Sleep(_claimInterval)
		}
		status, err = l.ops.status(hosts[n%len(hosts)])
	}
	if err != nil {
		l.errorf("%s of %v: no status %v after they were back and had caught up: %v", ls.Kind, ls.names, l.elapsed()-began, err)
		return
	}
	voters := 0
	for _, p := range status.Hosts {
		if !p.Learner {
			voters++
		}
	}
	for _, n := range ls.targets {
		name := l.fleet.controlSettings(n).Name
		votes := func(p raft.Peer) bool {
			return p.Name == name && !p.Learner && (!ls.Kind.losesDisk() || p.ID != ls.before[name])
		}
		if !slices.ContainsFunc(status.Hosts, votes) {
			l.errorf("%s of %v: %s is no voter %v after they were back: %+v", ls.Kind, ls.names, name, _catchUpTime, status.Hosts)
		}
	}
	// Another event may have begun during the read.
	if alone && l.budget.lostCount() == taken && voters != l.budget.hosts {
		l.errorf("%s of %v: %d voters %v after they were back, want %d: %+v",
			ls.Kind, ls.names, voters, _catchUpTime, l.budget.hosts, status.Hosts)
	}
}

// checkWrite waits until no host is lost, and checks that a change is confirmed in
// time.
func (l *lossInjector) checkWrite(ctx context.Context) {
	if !l.budget.wait(ctx, l.budget.hosts) {
		return
	}
	began := l.elapsed()
	rng := rand.New(rand.NewPCG(l.fleet.cfg.Seed, uint64(began)))
	change := l.ops.change(rng)
	var err error
	for host := rng.IntN(l.budget.hosts); l.elapsed() < began+_confirmTimeout; host = (host + 1) % l.budget.hosts {
		var rev uint64
		if rev, err = l.ops.write(host, change, fmt.Sprintf("check-%d", began)); err == nil {
			l.ops.recordConfirmed(rev, change)
			break
		}
		time.Sleep(_claimInterval)
	}
	if took := l.elapsed() - began; err != nil || took > _confirmTimeout {
		l.errorf("change not confirmed within %v although no control host was lost, but %v: %v", _confirmTimeout, took, err)
	}
}
