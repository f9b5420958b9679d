package ctrl

import (
	"log/slog"
	"slices"
	"time"

	"github.com/damaskpitch/damaskpitch/raft"
)

// _learnerLogInterval is how often a leader logs learners that are not voters yet. A
// learner that makes progress is promoted sooner.
const _learnerLogInterval = 2 * time.Second

// _slowTurn is how long a turn of a replica's loop, or a write to its disk, may take before
// it is logged: two heartbeats are late by then, and an election begins after five.
const _slowTurn = 200 * time.Millisecond

// logStart logs what the replica has loaded from its data folder.
func (r *Replica) logStart() {
	r.cfg.Logger.Info("replica opened", append(r.peerAttrs(r.status.Peers),
		slog.Uint64("term", r.model.Term()), slog.Uint64("commit", r.model.Commit()), slog.Uint64("last", r.model.Last()))...)
}

// logPeers logs the peer list if it differs from the previous one.
func (r *Replica) logPeers(previous, peers []raft.Peer) {
	if slices.Equal(previous, peers) {
		return
	}
	r.cfg.Logger.Info("peers changed", append(r.peerAttrs(peers), slog.Uint64("commit", r.model.Commit()))...)
}

func (r *Replica) peerAttrs(peers []raft.Peer) []any {
	return []any{
		slog.Uint64("group", uint64(r.cfg.Group)), slog.Uint64("id", r.cfg.Raft.ID),
		slog.String("member", memberRole(peers, r.cfg.Raft.ID)), slog.Any("peers", peers),
	}
}

// memberRole returns the role of a replica in a peer list: voter, learner or none.
func memberRole(peers []raft.Peer, id uint64) string {
	i := slices.IndexFunc(peers, func(p raft.Peer) bool { return p.ID == id })
	switch {
	case i < 0:
		return "none"
	case peers[i].Learner:
		return "learner"
	}
	return "voter"
}

// logLearners logs at the leader which learners have not become voters yet.
func (r *Replica) logLearners(now time.Duration) {
	learners := r.model.Learners()
	if len(learners) == 0 {
		r.learnersLogged = now
		return
	}
	if now-r.learnersLogged < _learnerLogInterval {
		return
	}
	r.learnersLogged = now
	r.cfg.Logger.Warn("learners are not voters yet", slog.Uint64("group", uint64(r.cfg.Group)),
		slog.Uint64("commit", r.model.Commit()), slog.Any("learners", learners))
}

// logSlowTurn logs a turn of the loop that took so long that others may miss heartbeats.
func (r *Replica) logSlowTurn(start time.Duration, messages int) {
	took := time.Since(r.cfg.Start) - start
	if took < _slowTurn {
		return
	}
	r.cfg.Logger.Warn("replica loop was slow", slog.Uint64("group", uint64(r.cfg.Group)), slog.Duration("took", took),
		slog.Int("messages", messages))
}

// logSlowWrite logs a write to the disk that took so long that commands waited visibly.
func (r *Replica) logSlowWrite() {
	if took := time.Since(r.writeStart); took >= _slowTurn {
		r.cfg.Logger.Warn("disk was slow", slog.Uint64("group", uint64(r.cfg.Group)), slog.Duration("took", took))
	}
}

// logUnaddressed logs the first message in a row that was dropped since the address of its
// receiver is not known.
func (r *Replica) logUnaddressed(to uint64) {
	if r.unaddressed == to {
		return
	}
	r.unaddressed = to
	r.cfg.Logger.Warn("dropped a message to a replica without a known address",
		slog.Uint64("group", uint64(r.cfg.Group)), slog.Uint64("to", to), slog.Uint64("commit", r.model.Commit()))
}
