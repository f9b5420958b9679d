package store

import (
	"fmt"

	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) reportCrash(c ReportCrash) Result {
	if !m.hasEpoch(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	life := fmt.Sprintf("%s@%d.%d", c.Key, c.Epoch, c.Life)
	m.updateCrashCounts(poison.CrashMsg{Life: life, Fingerprints: c.Fingerprints, At: m.at})
	return Written{Rev: m.index}
}

func (m *Model) reportCompleted(c ReportCompleted) Result {
	if !m.hasEpoch(c.Node, c.Epoch) {
		return Stale{}
	}
	m.updateCrashCounts(poison.CompletedMsg{Fingerprint: c.Fingerprint, At: m.at})
	return Written{Rev: m.index}
}

func (m *Model) tryBanned(c TryBanned) Result {
	if !m.updateCrashCounts(poison.TrialMsg{Fingerprint: c.Fingerprint, At: m.at}) {
		return Stale{}
	}
	return Written{Rev: m.index}
}

// updateCrashCounts passes a message to the crash counters and emits the resulting
// bans and unbans. It reports whether a trial was allowed.
func (m *Model) updateCrashCounts(msg poison.Msg) bool {
	model, cmds := m.poison.Update(msg)
	m.poison = model
	trial := false
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case poison.BanCmd:
			m.emit(view.FingerprintBanned{Fingerprint: cmd.Fingerprint, Ban: cmd.Ban})
		case poison.UnbanCmd:
			m.emit(view.FingerprintUnbanned{Fingerprint: cmd.Fingerprint})
		case poison.TrialCmd:
			trial = true
		}
	}
	return trial
}
