package store

import (
	"slices"

	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) registerMember(c RegisterMember) Result {
	node := c.Member.Node
	old, known := m.view.Member(node)
	if known && old.Epoch > c.Member.Epoch {
		return Stale{}
	}
	if known && old.Epoch < c.Member.Epoch {
		m.deleteInstances(node)
	}
	if old != c.Member {
		m.emit(view.MemberPut{Member: c.Member})
		m.updateReachability(node, c.Member.Reachability)
	}
	for _, i := range m.view.InstancesOf(node) {
		if !slices.ContainsFunc(c.Instances, func(n view.Instance) bool { return n.ID == i.ID }) {
			m.deleteInstance(view.Key{Node: node, ID: i.ID})
		}
	}
	for _, i := range c.Instances {
		m.putInstance(node, i)
	}
	return Written{Rev: m.index}
}

func (m *Model) registerInstance(c RegisterInstance) Result {
	if !m.hasEpoch(c.Node, c.Epoch) {
		return Stale{}
	}
	m.putInstance(c.Node, c.Instance)
	return Written{Rev: m.index}
}

func (m *Model) deregisterInstance(c DeregisterInstance) Result {
	if !m.hasEpoch(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	m.deleteInstance(c.Key)
	return Written{Rev: m.index}
}

func (m *Model) setReachability(c SetReachability) Result {
	member, ok := m.view.Member(c.Node)
	if !ok || member.Epoch != c.Epoch {
		return Stale{}
	}
	if member.Reachability == c.Reachability {
		return Written{Rev: m.index}
	}
	m.emit(view.MemberPut{Member: member.WithReachability(c.Reachability)})
	m.updateReachability(c.Node, c.Reachability)
	return Written{Rev: m.index}
}

func (m *Model) removeMember(c RemoveMember) Result {
	if !m.hasEpoch(c.Node, c.Epoch) {
		return Stale{}
	}
	m.deleteInstances(c.Node)
	m.emit(view.MemberDeleted{Node: c.Node})
	return Written{Rev: m.index}
}

func (m *Model) putInstance(node string, i view.Instance) {
	key := view.Key{Node: node, ID: i.ID}
	if m.view.HasLeft(key, i.Born) {
		i = i.WithLeaving()
	}
	old, known := m.view.Instance(key)
	if known && old == i {
		return
	}
	if known && (old.Service != i.Service || old.Leaving && !i.Leaving) {
		m.deleteInstance(key)
		known = false
	}
	m.emit(view.InstancePut{Node: node, Instance: i})
	if !known {
		m.updateArbiter(i.Service, floor.JoinMsg{ID: key.String(), WarmAt: m.at + m.warmup(i.Service)})
	}
	if i.Leaving {
		m.updateArbiter(i.Service, floor.LeaveMsg{ID: key.String(), At: m.at})
	}
}

func (m *Model) deleteInstance(key view.Key) {
	i, ok := m.view.Instance(key)
	if !ok {
		return
	}
	m.updateArbiter(i.Service, floor.RemoveMsg{ID: key.String(), At: m.at})
	m.emit(view.InstanceDeleted{Key: key})
}

func (m *Model) deleteInstances(node string) {
	for _, i := range m.view.InstancesOf(node) {
		m.deleteInstance(view.Key{Node: node, ID: i.ID})
	}
}

func (m *Model) updateReachability(node string, r view.Reachability) {
	for _, i := range m.view.InstancesOf(node) {
		key := view.Key{Node: node, ID: i.ID}
		m.updateArbiter(i.Service, floor.ReachabilityMsg{ID: key.String(), Unreachable: r == view.Unreachable, At: m.at})
	}
}

func (m *Model) hasEpoch(node string, epoch uint64) bool {
	member, ok := m.view.Member(node)
	return ok && member.Epoch == epoch
}
