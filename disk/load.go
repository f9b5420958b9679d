package disk

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"

	"github.com/damaskpitch/damaskpitch/raft"
)

// Load returns the stored state of a replica. It returns ErrCorrupt if the state
// is damaged or inconsistent.
func (d *Disk) Load(group uint32) (raft.State, error) {
	var s raft.State
	hard, err := getRecord[hardState](d.db, recordKey(group, _hardStateKind, 0))
	if err != nil {
		return s, errors.Errorf("load term and vote: %w", err)
	}
	if hard != nil {
		s.Term = hard.Term
		s.Vote = hard.Vote
	}
	snapshot, err := getRecord[raft.Snapshot](d.db, recordKey(group, _snapshotKind, 0))
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
	d.setLastIndex(group, s.Snapshot.Index+uint64(len(s.Entries)))
	return s, nil
}

func (d *Disk) entries(group uint32) ([]raft.Entry, error) {
	iter, err := d.db.NewIter(&pebble.IterOptions{
		LowerBound: recordKey(group, _entryKind, 0),
		UpperBound: recordKey(group, _entryKind+1, 0),
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

// checkState returns ErrCorrupt if the entries have gaps or decreasing terms, or
// if they are newer than the stored term. No crash can cause these.
func checkState(s raft.State) error {
	want := s.Snapshot.Index + 1
	term := s.Snapshot.Term
	for _, e := range s.Entries {
		if e.Index != want || e.Term < term {
			return errors.Errorf("entry has index %d and term %d, want index %d: %w", e.Index, e.Term, want, ErrCorrupt)
		}
		want++
		term = e.Term
	}
	if term > s.Term {
		return errors.Errorf("entries have term %d, stored term is %d: %w", term, s.Term, ErrCorrupt)
	}
	return nil
}
