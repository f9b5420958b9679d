package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a type of event: a fault or a planned operation.
type Kind string

const (
	// NodeKill kills a node's process and restarts it after the event's duration.
	NodeKill Kind = "node-kill"
	// NodePause suspends a node's process and resumes it.
	NodePause Kind = "node-pause"
	// NodeStop shuts a node down gracefully and restarts it.
	NodeStop Kind = "node-stop"
	// NodeHandover starts a node's successor process, then shuts the old one down.
	NodeHandover Kind = "node-succeed"
	// NodeReload makes a node reload its settings (SIGHUP).
	NodeReload Kind = "node-hangup"
	// ControlKill kills a control host's process and restarts it after the event's
	// duration.
	ControlKill Kind = "control-kill"
	// ControlPause suspends a control host's process and resumes it.
	ControlPause Kind = "control-pause"
	// ControlStop shuts a control host down gracefully and restarts it.
	ControlStop Kind = "control-stop"
	// ControlDropInbound drops all data on the connections that other control hosts
	// open to one.
	ControlDropInbound Kind = "control-cut"
	// LinkDrop drops all data on the connections that others open to a node.
	LinkDrop Kind = "link-cut"
	// LinkOneWay drops only the data that a node sends on these connections.
	LinkOneWay Kind = "link-one-way"
	// LinkDelay delays the data that a node receives on these connections.
	LinkDelay Kind = "link-delay"
	// LinkReset resets the connections to a node.
	LinkReset Kind = "link-reset"
	// LinkSilence makes the open connections to a node drop all further data
	// without closing them.
	LinkSilence Kind = "link-silence"
	// BackendErrors makes a backend server fail most requests.
	BackendErrors Kind = "backend-errors"
	// BackendHang makes a backend server stop responding.
	BackendHang Kind = "backend-hang"
	// BackendCorrupt makes a backend server send faulty responses.
	BackendCorrupt Kind = "backend-spoil"
	// BackendLeave lets a backend server leave and starts another.
	BackendLeave Kind = "backend-leave"
	// BackendCrash ends a backend server abruptly and starts another.
	BackendCrash Kind = "backend-crash"
	// BusyCores keeps half of the machine's cores busy.
	BusyCores Kind = "busy-cores"
)

var (
	_plannedKinds = []Kind{NodeStop, NodeHandover, NodeReload, ControlStop, BackendLeave}
	_faultKinds   = []Kind{
		NodeKill, NodePause, ControlKill, ControlPause, ControlDropInbound, LinkDrop, LinkOneWay, LinkDelay, LinkReset,
		LinkSilence, BackendErrors, BackendHang, BackendCorrupt, BackendCrash,
	}
)

const (
	// _plannedSeedInterval selects every nth seed to have planned operations only,
	// during which every request must succeed.
	_plannedSeedInterval = 4
	// _calmSeedInterval selects every nth seed with lost disks to have no other events,
	// as what nodes and instances cause at the control hosts hides faults there.
	_calmSeedInterval = 2
	// _meanInterval is the mean time between events.
	_meanInterval = 700 * time.Millisecond
	// _instanceDowntime is how long a planned operation makes an instance
	// unavailable: the node rejects callers for 3 s before it exits, then starts,
	// and its return has to reach control hosts and nodes.
	_instanceDowntime = 8 * time.Second
	// _minDuration and _maxDuration bound how long a fault lasts: detectors react
	// within 1 to 10 s.
	_minDuration = 300 * time.Millisecond
	_maxDuration = 4 * time.Second
)

// Event is one scheduled fault or planned operation.
type Event struct {
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
	Fault  int           `json:"fault,omitempty"`
}

// targetsControl reports whether events of this kind affect a control host.
func (k Kind) targetsControl() bool {
	return slices.Contains([]Kind{ControlKill, ControlPause, ControlStop, ControlDropInbound}, k)
}

// plannedOnly reports whether a run has planned operations only.
func (c Config) plannedOnly() bool {
	return c.Losses == 0 && c.Seed%_plannedSeedInterval == 0
}

// kinds returns the kinds of events that occur at scheduled times.
func (c Config) kinds() []Kind {
	switch {
	case c.Losses > 0:
		// lossSchedule has the events of control hosts.
		kinds := slices.Concat(_plannedKinds, _faultKinds, []Kind{BusyCores})
		return slices.DeleteFunc(kinds, Kind.targetsControl)
	case c.plannedOnly():
		return _plannedKinds
	default:
		return slices.Concat(_plannedKinds, _faultKinds, _faultKinds)
	}
}

// Schedule generates the events that occur at scheduled times; the same seed gives
// the same events.
func Schedule(cfg Config) []Event {
	if cfg.Losses > 0 && (cfg.script != nil || cfg.Seed%_calmSeedInterval == 0) {
		return nil
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	kinds := cfg.kinds()
	var events []Event
	var controlDownUntil time.Duration   // when the last affected control host has recovered
	downUntil := map[int]time.Duration{} // by node: when its instance is available again after a planned operation
	for at := time.Second; at < cfg.For; at += time.Duration(rng.ExpFloat64() * float64(_meanInterval)) {
		e := Event{
			At:    at,
			For:   _minDuration + time.Duration(rng.Float64()*float64(_maxDuration-_minDuration)),
			Kind:  kinds[rng.IntN(len(kinds))],
			Fault: rng.IntN(1 << 16),
		}
		e.Target = rng.IntN(cfg.Nodes)
		if e.Kind.targetsControl() {
			// Only one control host at a time is affected, so that a majority stays up.
			if e.Target = rng.IntN(cfg.Controls); at < controlDownUntil {
				continue
			}
			controlDownUntil = at + e.For + _recoveryTime
		}
		if e.Kind == NodeStop || e.Kind == BackendLeave {
			// Planned operations leave at least half of the instances available.
			maps.DeleteFunc(downUntil, func(_ int, until time.Duration) bool { return until < at })
			if len(downUntil) >= cfg.Nodes/2 {
				continue
			}
			downUntil[e.Target] = at + _instanceDowntime
		}
		events = append(events, e)
	}
	return events
}
