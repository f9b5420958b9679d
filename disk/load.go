package disk

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"

	"github.com/damaskpitch/damaskpitch/raft"
)

// Load returns what the data folder holds of a replica, or ErrCorrupt.
func (d *Disk) Load(group uint32) (raft.State, error) {
	var s raft.State
	h, err := get[hard](d.db, key(group, _hard, 0))
	if err != nil {
		return s, errors.Errorf("load vote: %w", err)
	}
	if h != nil {
		s.Term = h.Term
		s.Vote = h.Vote
	}
	snapshot, err := get[raft.Snapshot](d.db, key(group, _snapshot, 0))
	if err != nil {
		return s, errors.Errorf("load snapshot: %w", err)
	}
	if snapshot != nil {
		s.Snapshot = *snapshot
	}
	s.Entries, err = d.entries(group)
	if err != nil {
		return s, err
	}
	if err := checkState(s); err != nil {
		return s, err
	}
	d.ends(group, s.Snapshot.Index+uint64(len(s.Entries)))
	return s, nil
}

func (d *Disk) entries(group uint32) ([]raft.Entry, error) {
	iter, err := d.db.NewIter(&pebble.IterOptions{
		LowerBound: key(group, _entry, 0),
		UpperBound: key(group, _entry+1, 0),
	})
	if err != nil {
		return nil, errors.Errorf("list entries: %w", err)
	}
	var entries []raft.Entry
	for iter.First(); iter.Valid(); iter.Next() {
		e, err := decode[raft.Entry](iter.Value())
		if err != nil {
			return nil, errors.CombineErrors(err, iter.Close())
		}
		entries = append(entries, *e)
	}
	if err := iter.Close(); err != nil {
		return nil, errors.Errorf("read entries: %w", err)
	}
	return entries, nil
}

// checkState finds gaps, which no crash can leave.
func checkState(s raft.State) error {
	want := s.Snapshot.Index + 1
	term := s.Snapshot.Term
	for _, e := range s.Entries {
		if e.Index != want || e.Term < term {
			return errors.Errorf("entry %d of term %d, want %d: %w", e.Index, e.Term, want, ErrCorrupt)
		}
		want++
		term = e.Term
	}
	if term > s.Term {
		return errors.Errorf("entries of term %d, voted in term %d: %w", term, s.Term, ErrCorrupt)
	}
	return nil
}
