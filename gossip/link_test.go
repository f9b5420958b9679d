package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
)

// narrowLink is a node that has just started behind a link which all replies share, and the
// control hosts that it asks. A pull fails when nothing of its reply has come for a while.
type narrowLink struct {
	model     Model
	hosts     []hostMode
	state     store.Model
	size      int // of a reply with the whole state, in bytes
	bandwidth int // bytes per second
	replies   []*reply
	started   []*reply // in this step
	received  int      // bytes
}

// reply is a reply under way.
type reply struct {
	cmd    PullCmd
	delta  proto.Delta
	left   int
	readAt time.Duration // when part of it was last read
}

const (
	_linkStep      = 5 * time.Millisecond
	_headSize      = 300 // bytes of a reply without changes
	_readInterval  = 100 * time.Millisecond
	_linkBandwidth = 10e6 / 8
)

func newNarrowLink(t *testing.T, routes int, mode hostMode, failing int) *narrowLink {
	t.Helper()
	state := store.New(store.Config{})
	apply := func(c store.Command) {
		state, _ = state.Apply(store.Entry{Index: state.Index() + 1, Command: c})
	}
	apply(store.Bootstrap{Cluster: 1})
	const perService = 10
	for n := range routes / perService {
		s := spec.Service{Name: fmt.Sprint("s", n)}
		for r := range perService {
			s.Routes = append(s.Routes, spec.Route{Host: "permits.example", Path: fmt.Sprintf("/service-%d/route-%d", n, r)})
		}
		apply(store.PutService{Match: store.AnyRev, Service: s.WithDefaults()})
	}
	data, err := proto.Codec.Encode(deltaSince(state, 0))
	if err != nil {
		t.Fatal(err)
	}
	l := &narrowLink{hosts: make([]hostMode, _hosts), state: state, size: len(data), bandwidth: _linkBandwidth}
	var control []string
	for n := range _hosts {
		control = append(control, fmt.Sprint("c", n))
		if n < failing {
			l.hosts[n] = mode
		}
	}
	l.model = New(Config{Node: "n", Addr: "n", Control: control})
	return l
}

// run returns the time until the node has the whole state, or the limit.
func (l *narrowLink) run(limit time.Duration) time.Duration {
	now := time.Duration(0)
	for ; now < limit && l.model.View().Rev < l.state.View().Rev; now += _linkStep {
		l.transfer(now)
		l.update(now, TickMsg{At: now})
	}
	return now
}

// transfer moves the replies on; they share the bandwidth.
func (l *narrowLink) transfer(now time.Duration) {
	var moving int
	for _, r := range l.replies {
		if l.mode(r) != _silent {
			moving++
		}
	}
	var open []*reply
	for _, r := range l.replies {
		source, addr := r.cmd.Source, r.cmd.Addr
		switch {
		case l.mode(r) == _silent && now >= r.readAt+r.cmd.Pull.Wait+_pullMargin:
			l.update(now, PullFailedMsg{At: now, Source: source, Addr: addr})
			continue
		case l.mode(r) == _silent:
		default:
			share := l.bandwidth * int(_linkStep) / int(time.Second) / moving
			l.received += min(share, r.left)
			r.left -= share
		}
		if r.left <= 0 {
			l.update(now, DeltaMsg{At: now, Source: source, Addr: addr, Delta: r.delta})
			continue
		}
		if l.mode(r) != _silent && now >= r.readAt+_readInterval {
			r.readAt = now
			l.update(now, PullProgressMsg{At: now, Source: source, Addr: addr})
		}
		open = append(open, r)
	}
	open = append(open, l.started...)
	l.replies, l.started = open, nil
}

func (l *narrowLink) mode(r *reply) hostMode {
	return l.hosts[int(r.cmd.Addr[1]-'0')]
}

func (l *narrowLink) update(now time.Duration, msg Msg) {
	var cmds []Cmd
	l.model, cmds = l.model.Update(msg)
	for _, cmd := range cmds {
		pull, ok := cmd.(PullCmd)
		if !ok {
			continue
		}
		r := &reply{cmd: pull, left: _headSize, readAt: now}
		r.delta = deltaSince(l.state, pull.Pull.Rev)
		r.delta.Current = l.mode(r) == _healthy
		if !pull.Pull.Head && pull.Pull.Rev < r.delta.Rev {
			r.left = l.size
		}
		r.delta = withoutChanges(pull.Pull, r.delta)
		l.started = append(l.started, r)
	}
}

// TestStateOverNarrowLink guards against a node that never gets the state since it is
// larger than what its link carries within a fixed time, or since several hosts send it at
// once.
func TestStateOverNarrowLink(t *testing.T) {
	const (
		search   = 1500 * time.Millisecond // for a host to pull from, with two of five silent
		maxRatio = 1.5                     // of the time that the state takes on the link
	)
	modes := []struct {
		name    string
		mode    hostMode
		failing int
	}{
		{"all current", _healthy, 0},
		{"two silent", _silent, 2},
		{"none current", _isolated, _hosts},
	}
	for _, mode := range modes {
		for _, routes := range []int{50, 500, 5000, 48000} {
			t.Run(fmt.Sprintf("%s, %d routes", mode.name, routes), func(t *testing.T) {
				l := newNarrowLink(t, routes, mode.mode, mode.failing)
				onLink := time.Duration(float64(l.size) / _linkBandwidth * float64(time.Second))
				limit := time.Duration(maxRatio*float64(onLink)) + search
				took := l.run(limit)
				if took >= limit {
					t.Fatalf("no state of %d bytes after %s, which takes %s on the link", l.size, took, onLink)
				}
				if float64(l.received) > maxRatio*float64(l.size)+100*_headSize {
					t.Errorf("%d bytes received for a state of %d", l.received, l.size)
				}
				t.Logf("%d bytes after %s, %s on the link, %d bytes received", l.size, took, onLink.Round(time.Millisecond), l.received)
			})
		}
	}
}
