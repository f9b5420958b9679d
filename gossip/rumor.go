package gossip

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_rumorGossipTime      = time.Minute // how long a rumor is forwarded
	_rumorRefreshInterval = 10 * time.Minute
	_rumorExpiry          = 25 * time.Minute
	_rumorPruneInterval   = 10 * time.Second
	_maxRumors            = 40 // per reply, except to a node that starts
)

// receivedRumor is a rumor and when this node received it.
type receivedRumor struct {
	rumor proto.Rumor
	at    time.Duration
}

// Rumors returns the rumors about a service's instances, sorted by key.
func (m Model) Rumors(service string) []proto.Rumor {
	var list []proto.Rumor
	for _, received := range m.rumors {
		if received.rumor.Instance.Service == service {
			list = append(list, received.rumor)
		}
	}
	slices.SortFunc(list, func(a, b proto.Rumor) int { return cmp.Compare(a.Key().String(), b.Key().String()) })
	return list
}

// addLocal adds rumors about the instances of this node that the view does not show
// yet, and refreshes old ones.
func (m Model) addLocal(msg LocalInstancesMsg) (Model, []Cmd) {
	var affected []string
	for _, i := range msg.Instances {
		r := proto.Rumor{Member: msg.Member, Timestamp: uint64(msg.At.Milliseconds()), Instance: i}
		known, ok := m.view.Instance(r.Key())
		if ok && known == i {
			continue
		}
		old, ok := m.rumors[r.Key()]
		if ok && old.rumor.Instance == i && old.rumor.Member == msg.Member && msg.At < old.at+_rumorRefreshInterval {
			continue
		}
		if ok {
			r = mergeRumor(old.rumor, r)
		}
		m.rumors[r.Key()] = receivedRumor{rumor: r, at: msg.At}
		affected = append(affected, i.Service)
	}
	return m, viewChanged(m.view, affected)
}

// mergeRumors adds the newer rumors of a peer and returns the services that they
// affect. An invalid one is ignored, so that it does not hold up the rest of the reply.
func (m Model) mergeRumors(list []proto.Rumor, at time.Duration) []string {
	var affected []string
	for _, r := range list {
		old, ok := m.rumors[r.Key()]
		switch {
		case r.Check() != nil:
			continue
		case r.Member.Node == m.cfg.Node:
			affected = append(affected, m.learnDeparture(r)...)
			continue
		case ok:
			r = mergeRumor(old.rumor, r)
		}
		if m.supersedes(r) || ok && r == old.rumor {
			continue
		}
		m.rumors[r.Key()] = receivedRumor{rumor: r, at: at}
		if !ok || old.rumor.Instance != r.Instance || old.rumor.Member != r.Member {
			affected = append(affected, r.Instance.Service)
		}
	}
	return affected
}

// mergeRumor returns the newer of two rumors about an instance. An instance that has left
// in either of them has left, unless the newer one is about a later start.
func mergeRumor(old, r proto.Rumor) proto.Rumor {
	newer, older := old, r
	if r.NewerThan(old) {
		newer, older = r, old
	}
	if born, left := older.Departure(); left && newer.Instance.Born == born {
		newer.Instance = newer.Instance.WithLeaving()
	}
	return newer
}

// learnDeparture records what this node has said of its own instance before it started.
func (m Model) learnDeparture(r proto.Rumor) []string {
	born, left := r.Departure()
	if !left || born <= m.departures[r.Instance.ID] {
		return nil
	}
	m.departures[r.Instance.ID] = born
	return []string{r.Instance.Service}
}

// Departures returns the instances of this node that have said that they leave, with the
// latest start that did.
func (m Model) Departures() map[string]int64 {
	list := m.view.DeparturesOf(m.cfg.Node)
	for id, born := range m.departures {
		list[id] = max(list[id], born)
	}
	return list
}

// supersedes reports whether the view makes a rumor obsolete: it has the same
// instance, or a later epoch of the node. That an instance has left holds after a restart
// of its node too, until the view has it or a later start of the instance.
func (m Model) supersedes(r proto.Rumor) bool {
	member, _ := m.view.Member(r.Member.Node)
	known, ok := m.view.Instance(r.Key())
	if born, left := r.Departure(); left {
		return m.view.HasLeft(r.Key(), born) || ok && (known == r.Instance || known.Born > born)
	}
	return member.Epoch > r.Member.Epoch || ok && known == r.Instance
}

// pruneRumors deletes rumors that are superseded or expired and returns the services
// that they affect.
func (m Model) pruneRumors(at time.Duration) []string {
	var affected []string
	for key, received := range m.rumors {
		if m.supersedes(received.rumor) || at >= received.at+_rumorExpiry {
			delete(m.rumors, key)
			affected = append(affected, received.rumor.Instance.Service)
		}
	}
	return affected
}

// rumorsToSend returns the recent rumors, latest first, or all of them for a node
// that starts.
func (m Model) rumorsToSend(all bool) []proto.Rumor {
	list := slices.Collect(maps.Values(m.rumors))
	slices.SortFunc(list, func(a, b receivedRumor) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.rumor.Key().String(), b.rumor.Key().String()))
	})
	var rumors []proto.Rumor
	for _, received := range list {
		if !all && (m.at >= received.at+_rumorGossipTime || len(rumors) == _maxRumors) {
			break
		}
		rumors = append(rumors, received.rumor)
	}
	return rumors
}

// viewChanged returns a command for the given services, without duplicates.
func viewChanged(v *view.View, affected []string) []Cmd {
	if len(affected) == 0 {
		return nil
	}
	slices.Sort(affected)
	return []Cmd{ViewChangedCmd{Rev: v.Rev, Services: slices.Compact(affected)}}
}
