package config

import (
	"cmp"

	"github.com/damaskpitch/damaskpitch/bodies"
	"github.com/damaskpitch/damaskpitch/spec"
)

// _bodiesPart is the part of a process's memory for buffered bodies. A request whose body has
// room takes several times as much beside it: its attempts have connections of their own.
const _bodiesPart = 16

// Bodies sets what the buffered bodies of requests may take. Zero values take the defaults.
type Bodies struct {
	// Budget is what all buffered bodies may take together; as much may wait for room.
	Budget spec.Size `json:"budget,omitempty" validate:"omitempty,gte=1048576"`
	// Patience is how long a body waits for room before its request is refused.
	Patience spec.Duration `json:"patience,omitempty" validate:"gte=0,lte=60000000000"`
}

// Pool returns the configuration for a process with an amount of memory, 0 if that is not
// known.
func (b Bodies) Pool(memory spec.Size) bodies.Config {
	return bodies.Config{
		Capacity: cmp.Or(b.Budget, memory/_bodiesPart, bodies.DefaultCapacity).Bytes(),
		Patience: cmp.Or(b.Patience, spec.Duration(bodies.DefaultPatience)).Std(),
	}
}
