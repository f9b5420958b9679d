package store

import (
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
)

func (m *Model) crash(c Crash) Result {
	if !m.current(c.Key.Node, c.Epoch) {
		return Stale{}
	}
	m.ban(poison.CrashMsg{Instance: c.Key.String(), Fingerprints: c.Prints, At: m.at})
	return Written{Rev: m.index}
}

// ban sends one message to the crash counts and tells the watchers.
func (m *Model) ban(msg poison.Msg) {
	model, cmds := m.poison.Update(msg)
	m.poison = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case poison.BanCmd:
			m.emit(view.BanPut{Print: cmd.Fingerprint})
		case poison.UnbanCmd:
			m.emit(view.BanGone{Print: cmd.Fingerprint})
		}
	}
}
