package store

import (
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) reportCrash(c ReportCrash) Result {
	if !m.hasEpoch(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	m.updateCrashCounts(poison.CrashMsg{Instance: c.Key.String(), Fingerprints: c.Fingerprints, At: m.at})
	return Written{Rev: m.index}
}

// updateCrashCounts passes a message to the crash counters and emits the resulting
// bans and unbans.
func (m *Model) updateCrashCounts(msg poison.Msg) {
	model, cmds := m.poison.Update(msg)
	m.poison = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case poison.BanCmd:
			m.emit(view.FingerprintBanned{Fingerprint: cmd.Fingerprint})
		case poison.UnbanCmd:
			m.emit(view.FingerprintUnbanned{Fingerprint: cmd.Fingerprint})
		}
	}
}
