package soak

import (
	"context"
	"sync"
	"time"
)

// budget tracks which control hosts are lost, that is away or not yet caught up,
// and keeps their number within what the settings allow.
type budget struct {
	hosts, limit int

	mu       sync.Mutex
	lost     map[int]bool
	replaced map[int]bool
}

func newBudget(hosts, limit int) *budget {
	return &budget{hosts: hosts, limit: limit, lost: map[int]bool{}, replaced: map[int]bool{}}
}

// wait waits until n more hosts may be lost, or for all of them until none is, and
// reports whether it may before the context is done.
func (b *budget) wait(ctx context.Context, n int) bool {
	for ctx.Err() == nil {
		if lost := b.lostCount(); lost == 0 || lost+n <= b.limit {
			return true
		}
		time.Sleep(_claimInterval)
	}
	return false
}

// takeRest marks all remaining hosts as lost.
func (b *budget) takeRest() []int {
	hosts := b.counted()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, host := range hosts {
		b.lost[host] = true
	}
	return hosts
}

// take marks n hosts as lost, the preferred ones first.
func (b *budget) take(n int, preferred ...int) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []int
	for k := range b.hosts {
		preferred = append(preferred, (preferred[0]+k)%b.hosts)
	}
	for _, host := range preferred {
		if len(taken) == n {
			break
		}
		if b.lost[host] || b.isLastSeed(host) {
			continue
		}
		b.lost[host] = true
		taken = append(taken, host)
	}
	return taken
}

// isLastSeed reports whether no other host remains that empty ones could join.
func (b *budget) isLastSeed(host int) bool {
	for other := range _seedHosts {
		if other != host && !b.lost[other] && !b.replaced[other] {
			return false
		}
	}
	return true
}

// giveBack marks hosts as no longer lost.
func (b *budget) giveBack(hosts []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, host := range hosts {
		delete(b.lost, host)
	}
}

// mayReplace reports whether a host may be replaced, and marks it as replaced. No
// more than one host that others are told to join may.
func (b *budget) mayReplace(host int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if host < _seedHosts && len(b.replaced) > 0 {
		return false
	}
	if host < _seedHosts {
		b.replaced[host] = true
	}
	return true
}

func (b *budget) lostCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.lost)
}

// counted returns the hosts that are not lost.
func (b *budget) counted() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []int
	for host := range b.hosts {
		if !b.lost[host] {
			list = append(list, host)
		}
	}
	return list
}
