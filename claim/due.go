package claim

import "time"

// due says when a key's record changes by itself.
type due struct {
	key   string
	until time.Duration
}

// dueHeap orders keys by the time that they are due.
type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds one entry.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(due)) }

// Pop removes the last entry.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
