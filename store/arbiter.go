package store

import (
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) ejectInstance(c EjectInstance) Result {
	i, ok := m.view.Instance(c.Key)
	if !ok || !m.hasEpoch(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	declared, ok := m.view.Service(i.Service)
	if !ok {
		return EjectionRefused{Reason: floor.NoInstance}
	}
	cmds := m.updateArbiter(i.Service, floor.EjectMsg{
		ID: c.Key.String(), At: m.at, TTL: c.TTL, Confirm: detect.ConfirmDelay(declared.Service.Patience),
	})
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case floor.GrantedCmd:
			return EjectionGranted{TTL: c.TTL, Remaining: cmd.Remaining, Rev: m.index}
		case floor.RefusedCmd:
			return EjectionRefused{Reason: cmd.Reason}
		}
	}
	return Stale{}
}

func (m *Model) restoreInstance(c RestoreInstance) Result {
	i, ok := m.view.Instance(c.Key)
	if !ok || !m.hasEpoch(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	m.updateArbiter(i.Service, floor.RestoreMsg{ID: c.Key.String()})
	return Written{Rev: m.index}
}

// updateArbiter passes a message to a service's ejection arbiter and emits the
// resulting events.
func (m *Model) updateArbiter(service string, msg floor.Msg) []floor.Cmd {
	arbiter, ok := m.arbiters[service]
	if !ok {
		declared, _ := m.view.Service(service)
		arbiter = floor.New(declared.Service.Floor)
		arbiter.Share = declared.Service.Share
	}
	arbiter, cmds := arbiter.Update(msg)
	m.arbiters[service] = arbiter
	if len(arbiter.Instances) == 0 {
		delete(m.arbiters, service)
	}
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case floor.GrantedCmd:
			m.emitEjection(cmd)
		case floor.RestoredCmd:
			m.emit(view.InstanceRestored{Key: parseKey(cmd.ID)})
		}
	}
	return cmds
}

func (m *Model) emitEjection(cmd floor.GrantedCmd) {
	if cmd.Renewed {
		return
	}
	m.emit(view.InstanceEjected{Key: parseKey(cmd.ID)})
}

func (m *Model) setFloor(s spec.Service) {
	if _, ok := m.arbiters[s.Name]; ok {
		m.updateArbiter(s.Name, floor.SetFloorMsg{Floor: s.Floor, Share: s.Share, At: m.at})
	}
}

func (m *Model) warmup(service string) time.Duration {
	s, _ := m.view.Service(service)
	return s.Service.Warmup.Std()
}

func (m Model) claim(c Claim) (Model, Result) {
	if m.cfg.RejectClaims {
		return m, WrongGroup{}
	}
	claims, cmds := m.claims.Update(claim.AcquireMsg{
		Key: c.Key, Digest: c.Digest, Holder: c.Holder, At: m.at, TTL: c.TTL,
	})
	m.claims = claims
	return m, claimResultOf(cmds)
}

func (m Model) settleClaim(c SettleClaim) (Model, Result) {
	claims, cmds := m.claims.Update(claim.SettleMsg{
		Key: c.Key, Holder: c.Holder, At: m.at, Outcome: c.Outcome, Answer: c.Answer,
	})
	m.claims = claims
	return m, claimResultOf(cmds)
}

func claimResultOf(cmds []claim.Cmd) Result {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case claim.GrantedCmd:
			return ClaimResult{Granted: true, State: claim.Running}
		case claim.HeldCmd:
			return ClaimResult{State: cmd.State, Answer: cmd.Answer}
		case claim.SettledCmd:
			return ClaimResult{State: cmd.State}
		case claim.KeyMismatchCmd:
			return KeyMismatch{}
		}
	}
	return NotFound{}
}

func parseKey(id string) view.Key {
	node, name, _ := strings.Cut(id, "/")
	return view.Key{Node: node, ID: name}
}
