package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// world is a few replicas with a network that loses, doubles, delays and
// reorders, and disks that keep just what was saved.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	replicas map[uint64]*host
	queue    []message
	cut      map[[2]uint64]bool
	applied  []Entry           // the longest history that any replica applied
	leaders  map[uint64]uint64 // by term
	best     uint64            // highest index known to be committed
	reads    map[uint64]uint64 // read number to the index it must reach
	proposed int
	chaos    bool
	broken   error
}

type message struct {
	from, to uint64
	lineage  uint64
	body     any
}

// host is one replica with its disk.
type host struct {
	model   Model
	disk    State
	applied uint64
	down    bool
	skew    time.Duration
}

func newWorld(seed uint64, n int) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		replicas: map[uint64]*host{},
		cut:      map[[2]uint64]bool{},
		leaders:  map[uint64]uint64{},
		reads:    map[uint64]uint64{},
	}
	var peers []Peer
	for id := range n {
		peers = append(peers, Peer{ID: uint64(id + 1), Name: fmt.Sprint("c", id+1), Addr: "x"})
	}
	for _, p := range peers {
		w.add(p.ID, State{Snapshot: Snapshot{Peers: peers}})
	}
	return w
}

func (w *world) add(id uint64, s State) {
	w.replicas[id] = &host{model: New(Config{ID: id}, s), disk: s, applied: s.Snapshot.Index}
}

func (w *world) ids() []uint64 {
	ids := make([]uint64, 0, len(w.replicas))
	for id := range w.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) tell(id uint64, msg Msg) {
	h := w.replicas[id]
	if h == nil || h.down {
		return
	}
	model, cmds := h.model.Update(msg)
	h.model = model
	for _, cmd := range cmds {
		if w.chaos && w.rng.IntN(400) == 0 {
			w.crash(id)
			return
		}
		w.run(id, h, cmd)
	}
}

func (w *world) run(id uint64, h *host, cmd Cmd) {
	switch cmd := cmd.(type) {
	case SaveCmd:
		h.disk.Term, h.disk.Vote = cmd.Term, cmd.Vote
		if len(cmd.Entries) > 0 {
			keep := cmd.Entries[0].Index - h.disk.Snapshot.Index - 1
			h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), cmd.Entries...)
		}
	case SnapshotCmd:
		if cmd.Reset {
			h.disk.Entries = nil
		} else {
			h.disk.Entries = slices.Clone(h.disk.Entries[cmd.Snapshot.Index-h.disk.Snapshot.Index:])
		}
		h.disk.Snapshot = cmd.Snapshot
	case SendCmd:
		w.queue = append(w.queue, message{from: id, to: cmd.To.ID, lineage: h.model.Lineage(), body: cmd.Body})
	case ApplyCmd:
		w.apply(h, cmd.Entries)
	case RestoreCmd:
		h.applied = cmd.Snapshot.Index
	case ReadyCmd:
		if want := w.reads[cmd.ID]; cmd.Index < want {
			w.broken = fmt.Errorf("read %d answered at %d, %d was committed before it", cmd.ID, cmd.Index, want)
		}
	case SupersededCmd:
		h.down = true
	case LeaderCmd:
		if cmd.Leader != id {
			return
		}
		if other, ok := w.leaders[cmd.Term]; ok && other != id {
			w.broken = fmt.Errorf("term %d has leaders %d and %d", cmd.Term, other, id)
		}
		w.leaders[cmd.Term] = id
	}
}

func (w *world) apply(h *host, entries []Entry) {
	for _, e := range entries {
		if e.Index != h.applied+1 {
			w.broken = fmt.Errorf("applied %d after %d", e.Index, h.applied)
		}
		h.applied = e.Index
		w.best = max(w.best, e.Index)
		if int(e.Index) > len(w.applied) {
			w.applied = append(w.applied, e)
			continue
		}
		if known := w.applied[e.Index-1]; known.Term != e.Term || string(known.Data) != string(e.Data) {
			w.broken = fmt.Errorf("entry %d is %d %q and %d %q", e.Index, known.Term, known.Data, e.Term, e.Data)
		}
	}
}

func (w *world) crash(id uint64) {
	h := w.replicas[id]
	w.add(id, State{
		Term: h.disk.Term, Vote: h.disk.Vote,
		Snapshot: h.disk.Snapshot, Entries: slices.Clone(h.disk.Entries),
	})
	w.replicas[id].skew = w.now
}

func (w *world) tick(d time.Duration) {
	w.now += d
	for _, id := range w.ids() {
		w.tell(id, TickMsg{At: w.now - w.replicas[id].skew})
	}
}

// deliver passes one waiting message on, any of them.
func (w *world) deliver() {
	if len(w.queue) == 0 {
		return
	}
	i := w.rng.IntN(len(w.queue))
	l := w.queue[i]
	if !w.chaos || w.rng.IntN(20) > 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
	if w.cut[[2]uint64{l.from, l.to}] || w.chaos && w.rng.IntN(20) == 0 {
		return
	}
	w.tell(l.to, ReceiveMsg{From: l.from, Lineage: l.lineage, Body: l.body})
}

// settle runs without faults until the queue is quiet for a while.
func (w *world) settle(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		w.tick(10 * time.Millisecond)
		for range 4 * len(w.queue) {
			w.deliver()
		}
	}
}

func (w *world) leader() uint64 {
	for _, id := range w.ids() {
		if h := w.replicas[id]; !h.down && h.model.Role() == Leader {
			return id
		}
	}
	return 0
}

func (w *world) propose(id uint64) {
	w.proposed++
	w.tell(id, ProposeMsg{Proposals: []Proposal{{ID: uint64(w.proposed), Data: fmt.Append(nil, w.proposed)}}})
}

func (w *world) read(id uint64) {
	w.proposed++
	w.reads[uint64(w.proposed)] = w.best
	w.tell(id, ReadMsg{ID: uint64(w.proposed)})
}

// step does one random thing.
func (w *world) step() {
	ids := w.ids()
	id := ids[w.rng.IntN(len(ids))]
	switch n := w.rng.IntN(100); {
	case n < 60:
		w.deliver()
	case n < 85:
		w.tick(time.Duration(w.rng.IntN(60)) * time.Millisecond)
	case n < 90:
		w.propose(id)
	case n < 93:
		w.read(id)
	case n < 94:
		w.crash(id)
	case n < 96:
		w.cut[[2]uint64{id, ids[w.rng.IntN(len(ids))]}] = true
	case n < 98:
		clear(w.cut)
	case n < 99:
		h := w.replicas[id]
		w.tell(id, CompactMsg{Index: h.applied, Data: []byte("state")})
	default:
		w.tell(id, TransferMsg{})
	}
}
