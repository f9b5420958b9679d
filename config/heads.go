package config

import (
	"cmp"

	"github.com/damaskpitch/damaskpitch/heads"
	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	// _headsPart is the part of a process's memory for which its heads are charged. Charges
	// are about twice the cost, which leaves room for what the garbage collector has not
	// freed yet, half of the heap.
	_headsPart = 4
	// _peerShare is the share of a node's budget for the port where other nodes reach it.
	// A request takes as much at its owner as at its ingress.
	_peerShare = 0.5
	// _goPart is the share of a process's memory for the Go runtime. The rest is left for
	// the program itself and for what the kernel holds for its connections.
	_goPart = 0.85
)

// Heads sets what the heads of requests and responses may take. Zero values take the
// defaults.
type Heads struct {
	// Budget is what the heads of all requests may cost in memory; a quarter of it is kept
	// for ordinary ones. At 8 MiB a head of 16,384 bytes in the shortest lines still fits.
	Budget spec.Size `json:"budget,omitempty" validate:"omitempty,gte=8388608"`
	// Patience is how long a head waits for room before a connection is closed.
	Patience spec.Duration `json:"patience,omitempty" validate:"gte=0,lte=60000000000"`
	// Streams is the number of concurrent streams of a connection with HTTP/2.
	Streams int `json:"streams,omitempty" validate:"gte=0,lte=10000"`
	// Lines is the number of lines of a response's head.
	Lines int `json:"lines,omitempty" validate:"gte=0,lte=100000"`
}

// WithDefaults returns the settings with defaults for a process with an amount of memory, 0
// if that is not known.
func (h Heads) WithDefaults(memory spec.Size) Heads {
	h.Budget = cmp.Or(h.Budget, memory/_headsPart, heads.DefaultCapacity)
	h.Patience = cmp.Or(h.Patience, spec.Duration(heads.DefaultPatience))
	h.Streams = cmp.Or(h.Streams, heads.MaxStreams)
	h.Lines = cmp.Or(h.Lines, heads.DefaultResponseLines)
	return h
}

// Pool returns the configuration of a pool with the whole budget.
func (h Heads) Pool() heads.Config {
	return heads.Config{Capacity: h.Budget.Bytes(), Patience: h.Patience.Std()}
}

// NodePools returns the configurations of the two pools that share a node's budget: for
// the port where other nodes reach it, and for its other ports. With one pool, requests
// that are charged at their ingress could leave no room for themselves at their owner.
func (h Heads) NodePools() (peer, others heads.Config) {
	peer, others = h.Pool(), h.Pool()
	peer.Capacity = int64(_peerShare * float64(peer.Capacity))
	others.Capacity -= peer.Capacity
	return peer, others
}

// GoMemory returns the memory limit of the Go runtime for a process with an amount of
// memory, or false if that is not known.
func GoMemory(memory spec.Size) (int64, bool) {
	return int64(_goPart * float64(memory)), memory > 0
}
