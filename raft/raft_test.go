package raft

import (
	"testing"
	"time"
)

// TestInterleavings checks one leader a term, one history, and current reads,
// under loss, doubling, delay, reordering, one-way cuts and crashes between
// any two commands.
func TestInterleavings(t *testing.T) {
	for seed := range uint64(1000) {
		w := newWorld(seed, 3+2*int(seed%2))
		w.chaos = true
		for n := 0; n < 3000 && w.broken == nil; n++ {
			w.step()
		}
		if w.broken != nil {
			t.Fatalf("seed %d: %v", seed, w.broken)
		}
		w.chaos = false
		clear(w.cut)
		w.settle(5 * time.Second)
		before := w.best
		w.propose(w.leader())
		w.settle(time.Second)
		if w.broken != nil || w.best <= before {
			t.Fatalf("seed %d: no progress past %d after the faults: %v", seed, before, w.broken)
		}
	}
}

// TestIsolatedLeader cuts a leader off: it steps down by itself, answers no
// read, and does not disturb the others when it returns.
func TestIsolatedLeader(t *testing.T) {
	w := newWorld(1, 3)
	w.settle(3 * time.Second)
	old := w.leader()
	for _, id := range w.ids() {
		w.cut[[2]uint64{id, old}] = true
	}
	w.settle(3 * time.Second)
	if role := w.replicas[old].model.Role(); role == Leader {
		t.Fatal("the isolated leader still leads")
	}
	next := w.leader()
	if next == 0 || next == old {
		t.Fatalf("leader is %d, was %d", next, old)
	}
	term := w.replicas[next].model.Term()
	clear(w.cut)
	w.settle(3 * time.Second)
	if got := w.replicas[next].model; got.Role() != Leader || got.Term() != term {
		t.Fatalf("the returning replica disturbed term %d: now %d", term, got.Term())
	}
}

// TestReplace loses a replica's disk: a new identity joins as a learner, votes
// once it has caught up, the old identity goes, and then a second loss is
// survived.
func TestReplace(t *testing.T) {
	w := newWorld(2, 3)
	w.settle(3 * time.Second)
	for range 50 {
		w.propose(w.leader())
	}
	w.settle(time.Second)
	lost := uint64(1)
	if w.leader() == lost {
		lost = 2
	}
	name := w.replicas[w.leader()].model.peer(lost).Name
	w.replicas[lost].down = true
	w.add(9, State{})
	w.tell(w.leader(), CompactMsg{Index: w.best, Data: []byte("state")})
	w.tell(w.leader(), JoinMsg{Peer: Peer{ID: 9, Name: name, Addr: "x"}})
	w.settle(3 * time.Second)
	peers := w.replicas[w.leader()].model.Peers()
	if len(peers) != 3 || contains(peers, lost) || !w.replicas[w.leader()].model.voter(9) {
		t.Fatalf("peers after the repair: %+v", peers)
	}
	for _, id := range w.ids() {
		if id != lost && id != 9 {
			w.replicas[id].down = true
			break
		}
	}
	w.settle(5 * time.Second)
	before := w.best
	w.propose(w.leader())
	w.settle(time.Second)
	if w.best <= before || w.broken != nil {
		t.Fatalf("no progress after the second loss: %v", w.broken)
	}
}

// TestEvenSplit parts four voters two and two: neither side commits.
func TestEvenSplit(t *testing.T) {
	w := newWorld(3, 4)
	w.settle(3 * time.Second)
	for _, a := range w.ids() {
		for _, b := range w.ids() {
			w.cut[[2]uint64{a, b}] = (a <= 2) != (b <= 2)
		}
	}
	w.propose(w.leader())
	before := w.best
	w.settle(3 * time.Second)
	if w.best != before || w.leader() != 0 {
		t.Fatalf("committed %d after %d, leader %d", w.best, before, w.leader())
	}
}

// TestObserver joins two observers to three voters: they hold the log and
// never vote, one that was replaced goes, and one that asks becomes a voter.
func TestObserver(t *testing.T) {
	w := newWorld(4, 3)
	w.settle(3 * time.Second)
	join := func(p Peer) {
		if w.replicas[p.ID] == nil {
			w.add(p.ID, State{})
		}
		w.tell(w.leader(), JoinMsg{Peer: p})
		w.propose(w.leader())
		w.settle(2 * time.Second)
	}
	join(Peer{ID: 8, Name: "o1", Addr: "x", Observer: true})
	join(Peer{ID: 9, Name: "o2", Addr: "x", Observer: true})
	leader := w.replicas[w.leader()].model
	for _, id := range []uint64{8, 9} {
		observer := w.replicas[id].model
		if leader.voter(id) || !contains(leader.peers, id) || observer.Commit() != leader.Commit() {
			t.Fatalf("observer %d has %d of %d, peers %+v", id, observer.Commit(), leader.Commit(), leader.peers)
		}
	}
	w.replicas[8].down = true
	join(Peer{ID: 10, Name: "o1", Addr: "x", Observer: true})
	join(Peer{ID: 9, Name: "o2", Addr: "x"})
	leader = w.replicas[w.leader()].model
	if contains(leader.peers, 8) || leader.voter(10) || !contains(leader.peers, 10) || !leader.voter(9) {
		t.Errorf("peers %+v", leader.peers)
	}
	if w.broken != nil {
		t.Error(w.broken)
	}
}

// TestInstallOnce sends a snapshot that takes long once, and again only when
// the follower answers later rounds without it.
func TestInstallOnce(t *testing.T) {
	state := State{Term: 1, Snapshot: Snapshot{Index: 10, Term: 1, Peers: []Peer{{ID: 1}, {ID: 2, Learner: true}}, Data: []byte("state")}}
	m := New(Config{ID: 1}, state)
	at, installs, round := time.Duration(0), 0, uint64(0)
	run := func(cmds []Cmd) {
		for _, cmd := range cmds {
			send, ok := cmd.(SendCmd)
			if _, install := send.Body.(Install); ok && install {
				installs++
			}
			if a, isAppend := send.Body.(Append); ok && isAppend {
				round = a.Round
			}
		}
	}
	tick := func(n int) {
		for range n {
			at += _defaultHeartbeat
			var cmds []Cmd
			m, cmds = m.Update(TickMsg{At: at})
			run(cmds)
		}
	}
	tick(100)
	if m.Role() != Leader || installs != 1 {
		t.Fatalf("role %v, sent %d times in 10 s without an answer", m.Role(), installs)
	}
	var cmds []Cmd
	m, cmds = m.Update(ReceiveMsg{From: 2, Body: AppendReply{Term: m.Term(), Round: round, OK: true}})
	run(cmds)
	tick(2)
	if installs != 2 {
		t.Errorf("sent %d times after it was missed", installs)
	}
}

// TestSuperseded rescues a group from one of three replicas and lets a new one
// join; the old majority that returns while the new one is lost stops by
// itself and takes nothing back.
func TestSuperseded(t *testing.T) {
	w := newWorld(5, 3)
	w.settle(3 * time.Second)
	w.propose(w.leader())
	w.settle(time.Second)
	for _, id := range w.ids() {
		w.replicas[id].down = true
	}
	rescued := w.replicas[3]
	cmd, held := Rescue(rescued.disk, Peer{ID: 3, Name: "c3", Addr: "x"}, 0)
	if !held {
		t.Fatal("the survivor does not hold the group")
	}
	w.run(3, rescued, cmd)
	w.crash(3)
	w.settle(2 * time.Second)
	w.add(9, State{})
	w.tell(3, JoinMsg{Peer: Peer{ID: 9, Name: "c1", Addr: "x"}})
	w.settle(2 * time.Second)
	w.propose(w.leader())
	w.settle(time.Second)
	kept := w.best
	w.replicas[9].down = true
	w.crash(1)
	w.crash(2)
	w.settle(5 * time.Second)
	for _, id := range []uint64{1, 2} {
		if !w.replicas[id].down {
			t.Errorf("replica %d goes on", id)
		}
	}
	if held := w.replicas[3].model; held.Commit() < kept || w.broken != nil {
		t.Errorf("committed up to %d, was %d: %v", held.Commit(), kept, w.broken)
	}
	w.crash(9)
	w.settle(3 * time.Second)
	before := w.best
	w.propose(w.leader())
	w.settle(time.Second)
	if w.best <= before || w.broken != nil {
		t.Errorf("no progress after the repair: %v", w.broken)
	}
}
