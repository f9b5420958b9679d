package soak

import (
	"sync"
	"time"
)

// calm knows when no fault was in force.
type calm struct {
	mu    sync.Mutex
	open  int       // faults that are in force
	ended time.Time // when the last one ended
}

// disturb begins a fault and returns what ends it.
func (c *calm) disturb() func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open--
		c.ended = time.Now()
	}
}

// since reports whether no fault has been in force since a time.
func (c *calm) since(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && c.ended.Before(at)
}
