package spec

import (
	"math"
	"time"
)

const (
	_defaultSlots   = 4
	_defaultConns   = 300
	_defaultQueue   = 16
	_defaultTimeout = Duration(10 * time.Second)
	_defaultGrace   = Duration(3 * time.Second)
	_defaultWarmup  = Duration(5 * time.Second)
)

// Patience selects how much evidence the failure detector needs before it
// ejects an instance.
type Patience string

const (
	// Quick ejects early, for services where detection time matters most.
	Quick Patience = "quick"
	// Sure ejects late, for services where false ejections matter most.
	Sure Patience = "sure"
)

// Service is the declaration of a service by its operators.
type Service struct {
	// Name identifies the service.
	Name string `json:"name" validate:"required,label"`
	// Floor is the minimum number of healthy instances after an ejection.
	Floor int `json:"floor" validate:"gte=0,lte=100000"`
	// Share is the minimum number of healthy instances after an ejection as a
	// fraction of the service's instances; the greater of Floor and Share applies.
	Share float64 `json:"share,omitempty" validate:"gte=0,lte=1"`
	// Size is the planned number of instances, 0 if unknown.
	Size int `json:"size,omitempty" validate:"gte=0,lte=100000"`
	// Slots is the number of concurrent requests per instance.
	Slots int `json:"slots,omitempty" validate:"gte=1,lte=10000"`
	// Conns is the maximum number of connections per instance.
	Conns int `json:"conns,omitempty" validate:"gte=1,lte=10000"`
	// Queue is the maximum number of requests waiting for a slot of an instance.
	Queue int `json:"queue,omitempty" validate:"gte=0,lte=100000"`
	// Timeout is the maximum duration of a request.
	Timeout Duration `json:"timeout,omitempty" validate:"gte=1000000,lte=3600000000000"`
	// Grace is how long a leaving instance may still receive new requests.
	Grace Duration `json:"grace,omitempty" validate:"gte=0,lte=600000000000"`
	// Warmup is how long a new instance takes to ramp up to all its slots.
	Warmup Duration `json:"warmup,omitempty" validate:"gte=0,lte=3600000000000"`
	// Patience selects the settings of the failure detector.
	Patience Patience `json:"patience,omitempty" validate:"oneof=quick sure"`
	// Routes select the requests that belong to the service.
	Routes []Route `json:"routes" validate:"min=1,max=4096,dive"`
}

// Route selects requests by host, method and path prefix.
type Route struct {
	// Host is the request's host name, or empty for every host.
	Host string `json:"host,omitempty" validate:"omitempty,hostname_rfc1123,max=253"`
	// Method is the request's method, or empty for every method.
	Method string `json:"method,omitempty" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	// Path is the prefix of the request's path; it matches whole segments.
	Path string `json:"path" validate:"required,startswith=/,max=1024"`
	// Once marks requests that are not idempotent.
	Once bool `json:"once,omitempty"`
}

// WithDefaults returns the service with empty optional fields set to defaults.
func (s Service) WithDefaults() Service {
	s.Slots = intOrDefault(s.Slots, _defaultSlots)
	s.Conns = intOrDefault(s.Conns, _defaultConns)
	s.Queue = intOrDefault(s.Queue, _defaultQueue)
	s.Timeout = durationOrDefault(s.Timeout, _defaultTimeout)
	s.Grace = durationOrDefault(s.Grace, _defaultGrace)
	s.Warmup = durationOrDefault(s.Warmup, _defaultWarmup)
	if s.Patience == "" {
		s.Patience = Sure
	}
	return s
}

// WithFloor returns a copy of the service with its floor set to n instances.
func (s Service) WithFloor(n int) Service {
	s.Floor = n
	return s
}

func intOrDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

func durationOrDefault(d, def Duration) Duration {
	if d == 0 {
		return def
	}
	return d
}

// FloorOf returns how many of n instances must stay healthy.
func (s Service) FloorOf(n int) int {
	return max(s.Floor, int(math.Ceil(s.Share*float64(n))))
}
