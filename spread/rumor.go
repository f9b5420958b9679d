package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_rumorLife    = time.Minute // for which a rumor is passed on
	_rumorRefresh = 10 * time.Minute
	_rumorExpiry  = 25 * time.Minute
	_rumorPrune   = 10 * time.Second
	_mostRumors   = 40 // in one answer
)

// heard is a rumor and when this node heard it.
type heard struct {
	rumor proto.Rumor
	at    time.Duration
}

// Rumors returns what this node has heard of a service's instances beside the
// view, by name.
func (m Model) Rumors(service string) []proto.Rumor {
	var list []proto.Rumor
	for _, h := range m.rumors {
		if h.rumor.Instance.Service == service {
			list = append(list, h.rumor)
		}
	}
	slices.SortFunc(list, func(a, b proto.Rumor) int { return cmp.Compare(a.Key().String(), b.Key().String()) })
	return list
}

// local spreads this node's own instances that the control hosts did not take.
func (m Model) local(msg LocalMsg) (Model, []Cmd) {
	var touched []string
	for _, i := range msg.Instances {
		r := proto.Rumor{Member: msg.Member, Timestamp: uint64(msg.At.Milliseconds()), Instance: i}
		known, ok := m.view.Instance(r.Key())
		if ok && known == i {
			continue
		}
		old, ok := m.rumors[r.Key()]
		if ok && old.rumor.Instance == i && old.rumor.Member == msg.Member && msg.At < old.at+_rumorRefresh {
			continue
		}
		m.rumors[r.Key()] = heard{rumor: r, at: msg.At}
		touched = append(touched, i.Service)
	}
	return m, applied(m.view, touched)
}

// hear takes a peer's rumors and returns the services that they change.
func (m Model) hear(list []proto.Rumor, at time.Duration) []string {
	var touched []string
	for _, r := range list {
		old, ok := m.rumors[r.Key()]
		if r.Member.Node == m.cfg.Node || m.settles(r) || ok && !r.NewerThan(old.rumor) {
			continue
		}
		m.rumors[r.Key()] = heard{rumor: r, at: at}
		if !ok || old.rumor.Instance != r.Instance || old.rumor.Member != r.Member {
			touched = append(touched, r.Instance.Service)
		}
	}
	return touched
}

// settles reports whether the view knows as much as a rumor, or more.
func (m Model) settles(r proto.Rumor) bool {
	member, _ := m.view.Member(r.Member.Node)
	known, ok := m.view.Instance(r.Key())
	return member.Epoch > r.Member.Epoch || ok && known == r.Instance
}

// prune drops what the view has settled and what nobody has refreshed.
func (m Model) prune(at time.Duration) []string {
	var touched []string
	for key, h := range m.rumors {
		if m.settles(h.rumor) || at >= h.at+_rumorExpiry {
			delete(m.rumors, key)
			touched = append(touched, h.rumor.Instance.Service)
		}
	}
	return touched
}

// hot returns the rumors to pass on, the latest first; a node that starts gets
// all of them.
func (m Model) hot(all bool) []proto.Rumor {
	list := slices.Collect(maps.Values(m.rumors))
	slices.SortFunc(list, func(a, b heard) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.rumor.Key().String(), b.rumor.Key().String()))
	})
	var rumors []proto.Rumor
	for _, h := range list {
		if !all && (m.at >= h.at+_rumorLife || len(rumors) == _mostRumors) {
			break
		}
		rumors = append(rumors, h.rumor)
	}
	return rumors
}

// applied names the services that changed, once each.
func applied(v *view.View, touched []string) []Cmd {
	if len(touched) == 0 {
		return nil
	}
	slices.Sort(touched)
	return []Cmd{AppliedCmd{Rev: v.Rev, Services: slices.Compact(touched)}}
}
