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
		if r.Check() != nil || r.Member.Node == m.cfg.Node || m.supersedes(r) || ok && !r.NewerThan(old.rumor) {
			continue
		}
		m.rumors[r.Key()] = receivedRumor{rumor: r, at: at}
		if !ok || old.rumor.Instance != r.Instance || old.rumor.Member != r.Member {
			affected = append(affected, r.Instance.Service)
		}
	}
	return affected
}

// supersedes reports whether the view makes a rumor obsolete: it has the same
// instance, or a later epoch of the node.
func (m Model) supersedes(r proto.Rumor) bool {
	member, _ := m.view.Member(r.Member.Node)
	known, ok := m.view.Instance(r.Key())
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
