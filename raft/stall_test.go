package raft

import (
	"testing"
	"time"
)

// TestDisksFullInTurn guards against a group that stays without commits after the disks of
// its hosts have been full one after another, never two at once. A host whose disk is full
// waits for it and then handles all that has come meanwhile.
func TestDisksFullInTurn(t *testing.T) {
	const (
		step          = 50 * time.Millisecond
		maxGap        = 4 * time.Second // in which a change must be confirmed
		maxGapHealthy = time.Second
	)
	for seed := range uint64(60) {
		c := newTestCluster(seed, 5)
		for _, r := range c.replicas {
			r.model.cfg.TargetVoters = 5
		}
		c.runFor(3 * time.Second)
		var gap, worst, worstHealthy time.Duration
		advance := func(d time.Duration, healthy bool) {
			for range d / step {
				before := c.maxCommitted
				for _, id := range c.ids() {
					if _, stalled := c.stalled[id]; !stalled && c.replicas[id].model.Role() == Leader {
						c.propose(id)
					}
				}
				c.runFor(step)
				gap += step
				if c.maxCommitted > before {
					gap = 0
				}
				worst = max(worst, gap)
				if healthy {
					worstHealthy = max(worstHealthy, gap)
				}
			}
		}
		for range 12 {
			ids := c.ids()
			id := ids[c.rng.IntN(len(ids))]
			if leader := c.leader(); leader != 0 && c.rng.IntN(2) == 0 {
				id = leader
			}
			c.stall(id)
			advance(time.Duration(200+c.rng.IntN(5000))*time.Millisecond, false)
			c.resume(id)
			advance(time.Duration(c.rng.IntN(600))*time.Millisecond, false)
		}
		gap = 0
		advance(5*time.Second, true)
		if c.violation != nil {
			t.Fatalf("seed %d: %v", seed, c.violation)
		}
		if worst > maxGap || worstHealthy > maxGapHealthy {
			t.Errorf("seed %d: %s without a commit, %s after the last disk had room", seed, worst, worstHealthy)
		}
	}
}
