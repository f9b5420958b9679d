// Package pulse decides from heartbeats which members are unreachable: silence
// is confirmed by members elsewhere, and a mass silence removes nobody.
//
//	m := pulse.New(pulse.Config{Silence: 6 * time.Second})
//	m, cmds := m.Update(pulse.ClockMsg{At: now})
//
// A model lives as long as one leader's term.
package pulse
