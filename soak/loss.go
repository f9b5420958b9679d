package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// DiskLoss kills a control host, which restarts without its data.
	DiskLoss Kind = "disk-loss"
	// DiskPairLoss does so to two control hosts at once.
	DiskPairLoss Kind = "disk-pair-loss"
	// DiskPairPowerLoss kills all other control hosts at the same moment. They
	// restart with their data.
	DiskPairPowerLoss Kind = "disk-pair-power-loss"
	// DiskPairBlackout kills all nodes as well.
	DiskPairBlackout Kind = "disk-pair-blackout"
	// Blackout kills all processes, which restart with their data.
	Blackout Kind = "blackout"
	// ControlReplace ends a control host for good, by SIGTERM or SIGKILL, and puts
	// an empty one with another name and address in its place.
	ControlReplace Kind = "control-replace"
)

const (
	// _catchUpTime is how long a host counts as lost after it is back.
	_catchUpTime = 4 * time.Second
	// _maxLossTime is how long a lost host is away at most; one that kept its data
	// is back within _maxRestartTime.
	_maxLossTime    = 3 * time.Second
	_maxRestartTime = time.Second
	// _minLossInterval bounds the number of loss events.
	_minLossInterval = 1500 * time.Millisecond
)

// The flags in an Event's Fault that apply to losses.
const (
	_hitsLeader   = 1 << iota // the target is the leader
	_afterConfirm             // right after a change was confirmed
	_quiet                    // operators make no calls until the hosts count again
	_chained                  // the next event occurs right when the hosts count again
	_terminates               // SIGTERM instead of SIGKILL
	_lossFlags    = iota
)

// _lossKinds are the events of control hosts that may be lost together. Those that
// matter most are repeated.
var _lossKinds = []Kind{
	DiskPairLoss, DiskPairLoss, DiskPairLoss, DiskPairLoss, DiskPairPowerLoss, DiskPairPowerLoss, DiskPairBlackout,
	Blackout, DiskLoss, DiskLoss, DiskLoss, ControlReplace, ControlReplace, ControlReplace, ControlKill, ControlPause, ControlStop,
}

// lossSchedule generates the events of control hosts that may be lost together.
// They follow each other as soon as the number of lost hosts permits, some of them
// At later; the same seed gives the same events.
func lossSchedule(cfg Config) []Event {
	if cfg.Losses == 0 || cfg.script != nil {
		return cfg.script
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	var events []Event
	for range cfg.For / _minLossInterval {
		var delay time.Duration
		if rng.IntN(2) == 0 {
			delay = time.Duration(rng.Float64() * float64(_maxLossTime))
		}
		events = append(events, Event{
			At:     delay,
			For:    time.Duration(rng.Float64() * float64(_maxLossTime)),
			Kind:   _lossKinds[rng.IntN(len(_lossKinds))],
			Target: rng.IntN(cfg.Controls),
			Fault:  rng.IntN(1 << 16),
		})
	}
	return events
}

// is reports whether the event has a flag.
func (e Event) is(flag int) bool {
	return e.Fault&flag != 0
}

// second returns the target of a pair that is not Target, as a preference.
func (e Event) second(controls int) int {
	return (e.Target + 1 + e.Fault>>_lossFlags%(controls-1)) % controls
}

// losesDisk reports whether the kind removes the data of its targets.
func (k Kind) losesDisk() bool {
	return k == DiskLoss || k.targetsPair()
}

// targetsPair reports whether the kind targets two control hosts.
func (k Kind) targetsPair() bool {
	return slices.Contains([]Kind{DiskPairLoss, DiskPairPowerLoss, DiskPairBlackout}, k)
}

// killsOthers reports whether the kind kills the control hosts that it does not
// target.
func (k Kind) killsOthers() bool {
	return slices.Contains([]Kind{DiskPairPowerLoss, DiskPairBlackout, Blackout}, k)
}

// killsNodes reports whether the kind kills all nodes.
func (k Kind) killsNodes() bool {
	return k == DiskPairBlackout || k == Blackout
}
