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
	_rumorGossipTime      = time.Minute // for which a rumor is passed on
	_rumorRefreshInterval = 10 * time.Minute
	_rumorExpiry          = 25 * time.Minute
	_rumorPruneInterval   = 10 * time.Second
	_maxRumors            = 40 // in one answer
)

// receivedRumor is a rumor and when this node receivedRumor it.
type receivedRumor struct {
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

// addLocal spreads this node's own instances that the control hosts did not take.
func (m Model) addLocal(msg LocalInstancesMsg) (Model, []Cmd) {
	var touched []string
	for _, i := range msg.Instances {
		r := proto.Rumor{Member: msg.Member, Stamp: uint64(msg.At.Milliseconds()), Instance: i}
		known, ok := m.view.Instance(r.Key())
		if ok && known == i {
			continue
		}
		old, ok := m.rumors[r.Key()]
		if ok && old.rumor.Instance == i && old.rumor.Member == msg.Member && msg.At < old.at+_rumorRefreshInterval {
			continue
		}
		m.rumors[r.Key()] = receivedRumor{rumor: r, at: msg.At}
		touched = append(touched, i.Service)
	}
	return m, viewChanged(m.view, touched)
}

// mergeRumors takes a peer's rumors and returns the services that they change.
func (m Model) mergeRumors(list []proto.Rumor, at time.Duration) []string {
	var touched []string
	for _, r := range list {
		old, ok := m.rumors[r.Key()]
		if r.Member.Node == m.cfg.Node || m.supersedes(r) || ok && !r.After(old.rumor) {
			continue
		}
		m.rumors[r.Key()] = receivedRumor{rumor: r, at: at}
		if !ok || old.rumor.Instance != r.Instance || old.rumor.Member != r.Member {
			touched = append(touched, r.Instance.Service)
		}
	}
	return touched
}

// supersedes reports whether the view knows as much as a rumor, or more.
func (m Model) supersedes(r proto.Rumor) bool {
	member, _ := m.view.Member(r.Member.Node)
	known, ok := m.view.Instance(r.Key())
	return member.Epoch > r.Member.Epoch || ok && known == r.Instance
}

// pruneRumors drops what the view has settled and what nobody has refreshed.
func (m Model) pruneRumors(at time.Duration) []string {
	var touched []string
	for key, h := range m.rumors {
		if m.supersedes(h.rumor) || at >= h.at+_rumorExpiry {
			delete(m.rumors, key)
			touched = append(touched, h.rumor.Instance.Service)
		}
	}
	return touched
}

// rumorsToSend returns the rumors to pass on, the latest first; a node that starts gets
// all of them.
func (m Model) rumorsToSend(all bool) []proto.Rumor {
	list := slices.Collect(maps.Values(m.rumors))
	slices.SortFunc(list, func(a, b receivedRumor) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.rumor.Key().String(), b.rumor.Key().String()))
	})
	var rumors []proto.Rumor
	for _, h := range list {
		if !all && (m.at >= h.at+_rumorGossipTime || len(rumors) == _maxRumors) {
			break
		}
		rumors = append(rumors, h.rumor)
	}
	return rumors
}

// viewChanged names the services that changed, once each.
func viewChanged(v *view.View, touched []string) []Cmd {
	if len(touched) == 0 {
		return nil
	}
	slices.Sort(touched)
	return []Cmd{ViewChangedCmd{Rev: v.Rev, Services: slices.Compact(touched)}}
}
