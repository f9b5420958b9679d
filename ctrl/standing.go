package ctrl

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/quota"
)

const (
	// _standingsInterval is the time between two messages with standings, unless a bucket has
	// used up what the last ones allow for. It is below quota.MaxStandingAge by an election and
	// a lost message.
	_standingsInterval = 500 * time.Millisecond
	_standingsTimeout  = 300 * time.Millisecond
)

// receivedStandings are the latest standings of a leader.
type receivedStandings struct {
	term uint64
	at   time.Duration // by bootTime
	list []quota.Standing
}

// bootTime returns the time since the machine started, including the time for which it was
// suspended: a host that stood still must not take old standings for new ones.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // only for a clock that the kernel does not have
	}
	return time.Duration(now.Nano())
}

// runStandings tells the other hosts the standings of customers' buckets while this host
// leads, until the context ends.
func (q *quotas) runStandings(ctx context.Context) error {
	ticker := time.NewTicker(_standingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-q.standingsDue:
		}
		if msg, ok := q.standings(); ok {
			q.send(ctx, msg)
		}
	}
}

// standings returns the message to the other hosts, or false if there is nothing to tell.
func (q *quotas) standings() (proto.Standings, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.beginLocked() || len(q.server.replica.Status().Peers) < 2 {
		return proto.Standings{}, false
	}
	list := q.home.Standings(time.Since(q.start))
	return proto.Standings{Term: q.term, List: list}, len(list) > 0
}

// send sends standings to the other hosts of the group. A lost message only makes the next
// home begin with less.
func (q *quotas) send(ctx context.Context, msg proto.Standings) {
	s := q.server
	for _, peer := range s.replica.Status().Peers {
		if peer.ID == s.disk.ID() || peer.Addr == "" {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, _standingsTimeout)
			defer cancel()
			_, _ = s.client.Call(ctx, peer.Addr, msg)
		}()
	}
}

// receive keeps the latest standings.
func (q *quotas) receive(msg proto.Standings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if msg.Term >= q.received.term {
		q.received = receivedStandings{term: msg.Term, at: bootTime(), list: msg.List}
	}
}

// newHomeLocked returns the home of a new term. It goes on from the standings of the
// predecessor if they are recent: that one cannot grant any more, since each grant follows a
// linearizable read.
func (q *quotas) newHomeLocked(term uint64, at time.Duration) quota.Home {
	age := bootTime() - q.received.at
	if q.received.term == 0 || q.received.term >= term || age > quota.MaxStandingAge {
		return quota.NewHome(term, at)
	}
	return quota.NewHomeFrom(term, at, age, q.received.list)
}
