package ctrl

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

// collect turns what waits in the inbox into messages; commands that wait
// together become one proposal.
func (r *Replica) collect(item any) []any {
	var msgs []any
	var batch raft.ProposeMsg
	for range _maxBatch {
		switch item := item.(type) {
		case command:
			batch.Proposals = r.propose(batch.Proposals, item)
		case barrier:
			msgs = append(msgs, raft.ReadMsg{ID: r.number(item.reply)})
		case raft.Msg, frozen:
			msgs = append(msgs, item)
		}
		select {
		case item = <-r.inbox:
			continue
		default:
		}
		break
	}
	if len(batch.Proposals) > 0 {
		msgs = append(msgs, batch)
	}
	return msgs
}

func (r *Replica) propose(list []raft.Proposal, c command) []raft.Proposal {
	data, err := store.Codec.Encode(store.Entry{At: r.logTime(), Command: c.command})
	if err != nil {
		c.reply <- outcome{err: err}
		return list
	}
	return append(list, raft.Proposal{ID: r.number(c.reply), Data: data})
}

func (r *Replica) number(reply chan<- outcome) uint64 {
	r.nextID++
	r.waiting[r.nextID] = reply
	return r.nextID
}

// logTime goes on from the last entry's time, so that a new leader's clock
// never makes a lease run out early.
func (r *Replica) logTime() time.Duration {
	return r.base + time.Since(r.lead)
}

func (r *Replica) take(item any) error {
	switch item := item.(type) {
	case frozen:
		return r.thaw(item)
	case raft.Msg:
		return r.update(item)
	}
	return nil
}

func (r *Replica) update(msg raft.Msg) error {
	model, cmds := r.model.Update(msg)
	r.model = model
	for _, cmd := range cmds {
		if err := r.run(cmd); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) run(cmd raft.Cmd) error {
	switch cmd := cmd.(type) {
	case raft.SaveCmd:
		return r.cfg.Disk.Save(r.cfg.Group, cmd)
	case raft.SnapshotCmd:
		return r.cfg.Disk.Snapshot(r.cfg.Group, cmd)
	case raft.SendCmd:
		r.send(cmd)
	case raft.ApplyCmd:
		return r.apply(cmd.Entries)
	case raft.RestoreCmd:
		return r.restore(cmd.Snapshot)
	case raft.AcceptedCmd:
		r.accepted[cmd.Index] = cmd
	case raft.RefusedCmd:
		r.answer(cmd.ID, outcome{err: ErrNoLeader})
	case raft.ReadReadyCmd:
		r.answer(cmd.ID, outcome{index: cmd.Index})
	case raft.LeaderCmd:
		r.led(cmd)
	case raft.SupersededCmd:
		return errors.Errorf("group %d: %w", r.cfg.Group, ErrSuperseded)
	}
	return nil
}

func (r *Replica) send(cmd raft.SendCmd) {
	r.cfg.Send(cmd.To, raft.Envelope{
		Group:   r.cfg.Group,
		From:    r.cfg.Raft.ID,
		Name:    r.cfg.Name,
		To:      cmd.To.ID,
		Lineage: r.model.Lineage(),
		Body:    cmd.Body,
	})
}

func (r *Replica) apply(entries []raft.Entry) error {
	for _, e := range entries {
		if err := r.applyOne(e); err != nil {
			return err
		}
	}
	r.announce()
	if r.model.Commit()-r.model.First() >= _compactAfter {
		r.freeze()
	}
	return nil
}

// freeze starts a snapshot beside the loop, which goes on meanwhile.
func (r *Replica) freeze() {
	if r.freezing {
		return
	}
	r.mu.Lock()
	state, snapshot, ok := r.state.BeginSnapshot()
	r.state = state
	r.mu.Unlock()
	if !ok {
		return
	}
	r.freezing = true
	r.encoders.Go(func() {
		data, err := snapshot.Encode()
		select {
		case r.inbox <- frozen{index: snapshot.Index, data: data, err: err}:
		case <-r.done:
		}
	})
}

// thaw takes a finished snapshot; the log drops what it covers.
func (r *Replica) thaw(f frozen) error {
	r.freezing = false
	r.mu.Lock()
	r.state = r.state.EndSnapshot()
	r.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	return r.update(raft.CompactMsg{Index: f.index, Data: f.data})
}

func (r *Replica) applyOne(e raft.Entry) error {
	entry := store.Entry{Command: store.AdvanceClock{}}
	if e.Kind == raft.Normal {
		msg, err := store.Codec.Decode(e.Data)
		if err != nil {
			return errors.Errorf("entry %d: %w", e.Index, err)
		}
		entry, _ = msg.(store.Entry)
	}
	entry.Index = e.Index
	r.mu.Lock()
	state, result := r.state.Apply(entry)
	r.state = state
	r.mu.Unlock()
	accepted, ok := r.accepted[e.Index]
	if !ok {
		return nil
	}
	delete(r.accepted, e.Index)
	if accepted.Term != e.Term {
		r.answer(accepted.ID, outcome{err: ErrLost})
		return nil
	}
	r.answer(accepted.ID, outcome{result: result, index: e.Index})
	return nil
}

func (r *Replica) restore(s raft.Snapshot) error {
	state, err := store.Load(r.cfg.Store, s.Data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.announce()
	return nil
}

// announce wakes those who wait for a change.
func (r *Replica) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Peers = r.model.Peers()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) answer(id uint64, out outcome) {
	reply, ok := r.waiting[id]
	if !ok {
		return
	}
	delete(r.waiting, id)
	reply <- out
}

func (r *Replica) led(cmd raft.LeaderCmd) {
	leading := cmd.Leader == r.cfg.Raft.ID
	r.mu.Lock()
	was := r.status.Leader == r.cfg.Raft.ID
	r.status.Leader = cmd.Leader
	r.status.Term = cmd.Term
	r.status.Peers = r.model.Peers()
	r.mu.Unlock()
	if leading {
		r.lead = time.Now()
		r.base = r.state.At()
	}
	if leading != was && r.cfg.Lead != nil {
		r.cfg.Lead()
	}
	r.cfg.Logger.Info("leader",
		slog.Uint64("group", uint64(r.cfg.Group)),
		slog.Uint64("leader", cmd.Leader),
		slog.Uint64("term", cmd.Term),
		slog.Bool("self", leading))
}
