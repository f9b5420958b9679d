package raft

// Pipeline orders the commands of a replica whose writes take time, so that the replica
// handles messages meanwhile. Commands behind a write wait for it, but for those that
// promise nothing of it: a leader's Appends, reads that a quorum has confirmed, and replies
// that tell how much is synced. It serves a Model with Config.Async.
//
//	cmds := p.Add(cmds)       // run these in order; begin a write without waiting for it
//	saved, cmds := p.Done()   // when the write is synced; run these, then pass saved to the model
//
// One write is under way at a time; those that wait are merged into the next one.
type Pipeline struct {
	writing *write // under way, or nil
	waiting []queued
	synced  uint64 // the log is synced up to this index
	term    uint64 // as last queued for a write
	vote    uint64
	// barriers counts the unfinished writes that change the term or vote or replace the
	// log. Nothing is sent before they are synced.
	barriers int
	bytes    int // of entries that are not synced
}

// queued is a command that waits.
type queued struct {
	cmd     Cmd
	barrier bool
}

// write is one or more commands to write that are synced together.
type write struct {
	cmd      Cmd
	barriers int
	bytes    int
}

// NewPipeline returns the pipeline of a replica with the state loaded from its data folder.
func NewPipeline(s State) *Pipeline {
	return &Pipeline{synced: s.Snapshot.Index + uint64(len(s.Entries)), term: s.Term, vote: s.Vote}
}

// Add queues commands and returns those to run now, in order.
func (p *Pipeline) Add(cmds []Cmd) []Cmd {
	var now []Cmd
	for _, cmd := range cmds {
		item := queued{cmd: cmd, barrier: p.note(cmd)}
		switch {
		case p.writing != nil:
			now = append(now, p.wait(item)...)
		case isWrite(cmd):
			p.writing = merge([]queued{item})
			now = append(now, cmd)
		default:
			now = append(now, cmd)
		}
	}
	return now
}

// Done ends the write under way. It returns the message that tells the model, if the log
// has got longer on disk, and the commands to run before that.
func (p *Pipeline) Done() (SavedMsg, []Cmd) {
	done := p.writing
	p.writing = nil
	p.barriers -= done.barriers
	p.bytes -= done.bytes
	saved := lastSaved(done.cmd)
	if saved.Index > 0 {
		p.synced = min(saved.Index, p.keptBelow())
	}
	var now []Cmd
	for len(p.waiting) > 0 && !isWrite(p.waiting[0].cmd) {
		now = append(now, p.waiting[0].cmd)
		p.waiting = p.waiting[1:]
	}
	if len(p.waiting) == 0 {
		return saved, now
	}
	var next []queued
	next, p.waiting = takeWrites(p.waiting)
	p.writing = merge(next)
	now = append(now, p.writing.cmd)
	rest := p.waiting
	p.waiting = nil
	for _, item := range rest {
		now = append(now, p.wait(item)...)
	}
	return saved, now
}

// Applying reports whether commands wait that change the state machine.
func (p *Pipeline) Applying() bool {
	for _, item := range p.waiting {
		switch item.cmd.(type) {
		case ApplyCmd, RestoreCmd:
			return true
		}
	}
	return false
}

// Bytes returns the size of the entries that are not synced.
func (p *Pipeline) Bytes() int { return p.bytes }

// note records what a command is going to change, and reports whether it is a barrier.
func (p *Pipeline) note(cmd Cmd) bool {
	barrier := false
	switch cmd := cmd.(type) {
	case SaveCmd:
		barrier = cmd.Term != p.term || cmd.Vote != p.vote
		p.term, p.vote = cmd.Term, cmd.Vote
		p.bytes += entryBytes(cmd.Entries)
		if len(cmd.Entries) > 0 {
			p.synced = min(p.synced, cmd.Entries[0].Index-1)
		}
	case SnapshotCmd:
		if barrier = cmd.Reset; barrier {
			p.synced = 0
		}
	}
	if barrier {
		p.barriers++
	}
	return barrier
}

// wait queues a command behind the write under way, and returns what is run at once instead
// or as well.
func (p *Pipeline) wait(item queued) []Cmd {
	if _, ok := item.cmd.(ReadReadyCmd); ok && p.barriers == 0 {
		return []Cmd{item.cmd}
	}
	send, ok := item.cmd.(SendCmd)
	if ok && p.barriers == 0 {
		switch body := send.Body.(type) {
		case Append:
			return []Cmd{send}
		case AppendReply:
			if !body.OK || body.Match <= p.synced {
				return []Cmd{send}
			}
			// The sender learns at once that this replica hears it, and later of the rest.
			body.Match = p.synced
			p.waiting = append(p.waiting, item)
			return []Cmd{SendCmd{To: send.To, Body: body}}
		}
	}
	p.waiting = append(p.waiting, item)
	return nil
}

// keptBelow returns the last index that no waiting write replaces.
func (p *Pipeline) keptBelow() uint64 {
	kept := ^uint64(0)
	for _, item := range p.waiting {
		switch cmd := item.cmd.(type) {
		case SaveCmd:
			if len(cmd.Entries) > 0 {
				kept = min(kept, cmd.Entries[0].Index-1)
			}
		case SnapshotCmd:
			if cmd.Reset {
				return 0
			}
		}
	}
	return kept
}

// takeWrites splits off the writes that are synced together: a snapshot, or all saves
// before the next snapshot.
func takeWrites(items []queued) (writes, rest []queued) {
	if _, ok := items[0].cmd.(SnapshotCmd); ok {
		return items[:1:1], items[1:]
	}
	for i, item := range items {
		switch item.cmd.(type) {
		case SnapshotCmd:
			return writes, append(rest, items[i:]...)
		case SaveCmd:
			writes = append(writes, item)
		default:
			rest = append(rest, item)
		}
	}
	return writes, rest
}

// merge returns one write with the effect of all.
func merge(items []queued) *write {
	w := &write{cmd: items[0].cmd}
	for i, item := range items {
		if item.barrier {
			w.barriers++
		}
		next, ok := item.cmd.(SaveCmd)
		if !ok {
			continue
		}
		w.bytes += entryBytes(next.Entries)
		if i == 0 {
			continue
		}
		before, _ := w.cmd.(SaveCmd)
		w.cmd = SaveCmd{Term: next.Term, Vote: next.Vote, Entries: replaceFrom(before.Entries, next.Entries)}
	}
	return w
}

// replaceFrom returns the entries with those from the first new index on replaced.
func replaceFrom(entries, with []Entry) []Entry {
	if len(with) == 0 || len(entries) == 0 {
		return append(entries[:len(entries):len(entries)], with...)
	}
	keep := 0
	if with[0].Index > entries[0].Index {
		keep = int(with[0].Index - entries[0].Index)
	}
	return append(entries[:keep:keep], with...)
}

// lastSaved returns the last entry that a write covers, or zero.
func lastSaved(cmd Cmd) SavedMsg {
	switch cmd := cmd.(type) {
	case SaveCmd:
		if n := len(cmd.Entries); n > 0 {
			return SavedMsg{Index: cmd.Entries[n-1].Index, Term: cmd.Entries[n-1].Term}
		}
	case SnapshotCmd:
		if cmd.Reset {
			return SavedMsg{Index: cmd.Snapshot.Index, Term: cmd.Snapshot.Term}
		}
	}
	return SavedMsg{}
}

func isWrite(cmd Cmd) bool {
	switch cmd.(type) {
	case SaveCmd, SnapshotCmd:
		return true
	}
	return false
}

func entryBytes(entries []Entry) int {
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}
