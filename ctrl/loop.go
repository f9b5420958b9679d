package ctrl

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/store"
)

// messages converts the item, if any, and those that wait behind it into messages for
// Replica.process: first those of other replicas, then the requests. Commands are batched
// into one ProposeMsg.
func (r *Replica) messages(first any) []any {
	var msgs []any
	request := first
	switch first.(type) {
	case raft.Msg, delivery:
		msgs = append(msgs, first)
		request = nil
	}
	for len(msgs) < _maxBatch {
		msg := poll(r.received)
		if msg == nil {
			break
		}
		msgs = append(msgs, msg)
	}
	var batch raft.ProposeMsg
	size := 0
	for n := 0; n < _maxBatch && size < _maxBatchBytes; n++ {
		if request == nil {
			request = poll(r.requests())
		}
		switch item := request.(type) {
		case command:
			batch.Proposals = r.propose(batch.Proposals, item)
			if last := len(batch.Proposals) - 1; last >= 0 {
				size += len(batch.Proposals[last].Data)
			}
		case barrier:
			msgs = append(msgs, raft.ReadMsg{ID: r.register(item.reply)})
		case encodedSnapshot:
			msgs = append(msgs, item)
		}
		if request == nil {
			break
		}
		request = nil
	}
	if len(batch.Proposals) > 0 {
		msgs = append(msgs, batch)
	}
	return msgs
}

// requests returns the queue of requests, or nil while the disk is too far behind to take
// more: they wait or end there, instead of filling the memory.
func (r *Replica) requests() <-chan any {
	if r.pipeline.Bytes() >= _maxUnsyncedBytes {
		return nil
	}
	return r.inbox
}

// poll returns an item that waits in a queue, or nil.
func poll(queue <-chan any) any {
	select {
	case item := <-queue:
		return item
	default:
		return nil
	}
}

func (r *Replica) propose(list []raft.Proposal, c command) []raft.Proposal {
	data, err := encodeEntry(store.Entry{At: r.logTime(), Command: c.command})
	if err != nil {
		c.reply <- outcome{err: err}
		return list
	}
	return append(list, raft.Proposal{ID: r.register(c.reply), Data: data})
}

// encodeEntry returns the encoding of an entry. Text that is not UTF-8 can be encoded, but
// not decoded again.
func encodeEntry(e store.Entry) ([]byte, error) {
	data, err := store.Codec.Encode(e)
	if err == nil {
		_, err = decodeEntry(data)
	}
	if err != nil {
		return nil, errors.Mark(err, ErrInvalidCommand)
	}
	return data, nil
}

func decodeEntry(data []byte) (store.Entry, error) {
	msg, err := store.Codec.Decode(data)
	if err != nil {
		return store.Entry{}, err
	}
	entry, ok := msg.(store.Entry)
	if !ok {
		return store.Entry{}, errors.Newf("unexpected %T in the log", msg)
	}
	return entry, nil
}

func (r *Replica) register(reply chan<- outcome) uint64 {
	r.nextID++
	r.waiting[r.nextID] = reply
	return r.nextID
}

// logTime continues from the time of the last applied entry, so that leases never
// expire early under a new leader's clock.
func (r *Replica) logTime() time.Duration {
	return r.baseTime + time.Since(r.leaderSince)
}

func (r *Replica) process(item any) error {
	switch item := item.(type) {
	case encodedSnapshot:
		return r.finishSnapshot(item)
	case delivery:
		r.handling = &item
		defer func() {
			r.handling = nil
			item.replies.handled()
		}()
		return r.update(item.msg)
	case raft.Msg:
		return r.update(item)
	}
	return nil
}

func (r *Replica) update(msg raft.Msg) error {
	model, cmds := r.model.Update(msg)
	r.model = model
	return r.runAll(r.pipeline.Add(cmds))
}

func (r *Replica) runAll(cmds []raft.Cmd) error {
	for _, cmd := range cmds {
		if err := r.run(cmd); err != nil {
			return err
		}
	}
	return nil
}

// finishWrite runs what has waited for a write to the disk.
func (r *Replica) finishWrite(err error) error {
	if err != nil {
		return err
	}
	r.logSlowWrite()
	saved, cmds := r.pipeline.Done()
	if err := r.runAll(cmds); err != nil || saved.Index == 0 {
		return err
	}
	return r.update(saved)
}

func (r *Replica) run(cmd raft.Cmd) error {
	switch cmd := cmd.(type) {
	case raft.SaveCmd, raft.SnapshotCmd:
		r.beginWrite(cmd)
	case raft.SendCmd:
		r.send(cmd)
	case raft.ApplyCmd:
		return r.apply(cmd.Entries)
	case raft.RestoreCmd:
		return r.restore(cmd.Snapshot)
	case raft.AcceptedCmd:
		r.accepted[cmd.Index] = cmd
	case raft.RefusedCmd:
		r.reply(cmd.ID, outcome{err: ErrNotLeader})
	case raft.ReadReadyCmd:
		r.reply(cmd.ID, outcome{index: cmd.Index})
	case raft.LeaderCmd:
		r.setLeader(cmd)
	case raft.SupersededCmd:
		return errors.Errorf("group %d: %w", r.cfg.Group, ErrSuperseded)
	}
	return nil
}

// beginWrite writes to the disk in the background.
func (r *Replica) beginWrite(cmd raft.Cmd) {
	r.writeStart = time.Now()
	r.writes.Go(func() { r.written <- r.write(cmd) })
}

func (r *Replica) write(cmd raft.Cmd) error {
	switch cmd := cmd.(type) {
	case raft.SaveCmd:
		return r.cfg.Disk.Save(r.cfg.Group, cmd)
	case raft.SnapshotCmd:
		return r.cfg.Disk.Snapshot(r.cfg.Group, cmd)
	}
	return nil
}

func (r *Replica) send(cmd raft.SendCmd) {
	envelope := raft.Envelope{
		Group:   r.cfg.Group,
		From:    r.cfg.Raft.ID,
		Name:    r.cfg.Name,
		Addr:    r.cfg.Addr,
		To:      cmd.To.ID,
		Lineage: r.model.Lineage(),
		Body:    cmd.Body,
	}
	if r.handling != nil && cmd.To.ID == r.handling.msg.From && r.handling.replies.add(envelope) {
		return
	}
	r.cfg.Send(cmd.To, envelope)
}

func (r *Replica) apply(entries []raft.Entry) error {
	for _, e := range entries {
		r.applyEntry(e)
		r.appliedBytes += len(e.Data)
	}
	r.notifyChanged()
	// A snapshot is no more often written than entries of its size are.
	if r.model.Commit()-r.model.First() >= _compactAfter || r.appliedBytes >= max(_compactBytes, r.snapshotBytes) {
		r.startSnapshot()
	}
	return nil
}

// startSnapshot encodes a snapshot in the background, without blocking the loop.
func (r *Replica) startSnapshot() {
	if r.snapshotting {
		return
	}
	r.mu.Lock()
	state, snapshot, ok := r.state.BeginSnapshot()
	r.state = state
	r.mu.Unlock()
	if !ok {
		return
	}
	r.snapshotting = true
	r.appliedBytes = 0
	r.encoders.Go(func() {
		data, err := snapshot.Encode()
		select {
		case r.inbox <- encodedSnapshot{index: snapshot.Index, data: data, err: err}:
		case <-r.done:
		}
	})
}

// finishSnapshot compacts the log up to the index of an encoded snapshot.
func (r *Replica) finishSnapshot(f encodedSnapshot) error {
	r.snapshotting = false
	r.mu.Lock()
	r.state = r.state.EndSnapshot()
	r.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	r.snapshotBytes = len(f.data)
	return r.update(raft.CompactMsg{Index: f.index, Data: f.data})
}

// applyEntry applies an entry. One that cannot be decoded changes nothing, at any replica:
// a replica that stopped at it could never start again.
func (r *Replica) applyEntry(e raft.Entry) {
	entry := store.Entry{Command: store.AdvanceClock{}}
	var invalid error
	if e.Kind == raft.Normal {
		decoded, err := decodeEntry(e.Data)
		if err != nil {
			invalid = errors.Mark(err, ErrInvalidCommand)
			r.cfg.Logger.Error("skipped a log entry that cannot be decoded", slog.Uint64("group", uint64(r.cfg.Group)),
				slog.Uint64("index", e.Index), slog.Any("error", err))
			if r.cfg.OnSkippedEntry != nil {
				r.cfg.OnSkippedEntry()
			}
		} else {
			entry = decoded
		}
	}
	entry.Index = e.Index
	r.mu.Lock()
	state, result := r.state.Apply(entry)
	r.state = state
	r.mu.Unlock()
	accepted, ok := r.accepted[e.Index]
	if !ok {
		return
	}
	delete(r.accepted, e.Index)
	if accepted.Term != e.Term {
		r.reply(accepted.ID, outcome{err: ErrReplaced})
		return
	}
	r.reply(accepted.ID, outcome{result: result, index: e.Index, err: invalid})
}

func (r *Replica) restore(s raft.Snapshot) error {
	state, err := store.Load(r.cfg.Store, s.Data)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.appliedBytes, r.snapshotBytes = 0, len(s.Data)
	r.notifyChanged()
	return nil
}

// notifyChanged publishes the peer list and closes the channel of Changed.
func (r *Replica) notifyChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logPeers(r.status.Peers, r.model.Peers())
	r.status.Peers = r.model.Peers()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) reply(id uint64, out outcome) {
	reply, ok := r.waiting[id]
	if !ok {
		return
	}
	delete(r.waiting, id)
	reply <- out
}

// publishLeader publishes what is known by now of the leader that setLeader has published:
// its address may come with a later message, or with the peer list.
func (r *Replica) publishLeader() {
	leader, known := r.model.LeaderPeer()
	if !known || leader.ID != r.status.Leader || leader == r.status.LeaderPeer && r.status.Term == r.model.Term() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.LeaderPeer = leader
	r.status.Term = r.model.Term()
}

func (r *Replica) setLeader(cmd raft.LeaderCmd) {
	leading := cmd.Leader == r.cfg.Raft.ID
	r.logPeers(r.status.Peers, r.model.Peers())
	r.mu.Lock()
	was := r.status.Leader == r.cfg.Raft.ID
	r.status.Leader = cmd.Leader
	r.status.LeaderPeer, _ = r.model.LeaderPeer()
	r.status.Term = cmd.Term
	r.status.Peers = r.model.Peers()
	r.mu.Unlock()
	if leading {
		r.leaderSince = time.Now()
		r.baseTime = r.state.At()
	}
	if leading != was && r.cfg.OnLeaderChange != nil {
		r.cfg.OnLeaderChange()
	}
	r.cfg.Logger.Info("leader changed",
		slog.Uint64("group", uint64(r.cfg.Group)),
		slog.Uint64("leader", cmd.Leader),
		slog.Uint64("term", cmd.Term),
		slog.Bool("self", leading))
}
