package store

import (
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) eject(c Eject) Result {
	i, ok := m.view.Instance(c.Key)
	if !ok || !m.current(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	declared, ok := m.view.Service(i.Service)
	if !ok {
		return Refused{Reason: floor.NoInstance}
	}
	cmds := m.arbitrate(i.Service, floor.EjectMsg{
		ID: c.Key.String(), At: m.at, TTL: c.TTL, Confirm: judge.Confirm(declared.Service.Patience),
	})
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case floor.GrantedCmd:
			return Granted{TTL: c.TTL, Left: cmd.Left}
		case floor.RefusedCmd:
			return Refused{Reason: cmd.Reason}
		}
	}
	return Stale{}
}

func (m *Model) restore(c Restore) Result {
	i, ok := m.view.Instance(c.Key)
	if !ok || !m.current(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	m.arbitrate(i.Service, floor.RestoreMsg{ID: c.Key.String()})
	return Written{Rev: m.index}
}

// arbitrate sends one message to a service's arbiter and tells the watchers.
func (m *Model) arbitrate(service string, msg floor.Msg) []floor.Cmd {
	arbiter, ok := m.arbiters[service]
	if !ok {
		arbiter = floor.New(m.floorOf(service))
	}
	arbiter, cmds := arbiter.Update(msg)
	m.arbiters[service] = arbiter
	if len(arbiter.Known) == 0 {
		delete(m.arbiters, service)
	}
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case floor.GrantedCmd:
			m.ejected(cmd)
		case floor.RestoredCmd:
			m.emit(view.EjectGone{Key: parseKey(cmd.ID)})
		}
	}
	return cmds
}

func (m *Model) ejected(cmd floor.GrantedCmd) {
	if cmd.Renewed {
		return
	}
	m.emit(view.EjectPut{Key: parseKey(cmd.ID)})
}

func (m *Model) setFloor(s spec.Service) {
	if _, ok := m.arbiters[s.Name]; ok {
		m.arbitrate(s.Name, floor.LimitMsg{Floor: s.Floor})
	}
}

func (m *Model) floorOf(service string) int {
	s, _ := m.view.Service(service)
	return s.Service.Floor
}

func (m *Model) warmup(service string) time.Duration {
	s, _ := m.view.Service(service)
	return s.Service.Warmup.Std()
}

func (m Model) claim(c Claim) (Model, Result) {
	if m.cfg.Keyless {
		return m, Misrouted{}
	}
	claims, cmds := m.claims.Update(claim.AcquireMsg{
		Key: c.Key, Digest: c.Digest, Holder: c.Holder, At: m.at, TTL: c.TTL,
	})
	m.claims = claims
	return m, claimResult(cmds)
}

func (m Model) settle(c Settle) (Model, Result) {
	claims, cmds := m.claims.Update(claim.SettleMsg{
		Key: c.Key, Holder: c.Holder, At: m.at, Outcome: c.Outcome, Answer: c.Answer,
	})
	m.claims = claims
	return m, claimResult(cmds)
}

func claimResult(cmds []claim.Cmd) Result {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case claim.GrantedCmd:
			return Claimed{Granted: true, State: claim.Running}
		case claim.HeldCmd:
			return Claimed{State: cmd.State, Answer: cmd.Answer}
		case claim.SettledCmd:
			return Claimed{State: cmd.State}
		case claim.MismatchCmd:
			return Mismatched{}
		}
	}
	return Missing{}
}

func parseKey(id string) view.Key {
	node, name, _ := strings.Cut(id, "/")
	return view.Key{Node: node, ID: name}
}
