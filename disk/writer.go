package disk

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
)

const _maxMerged = 64

// writer syncs the batches of all groups in one order; those that wait at the
// same time share a sync.
type writer struct {
	db    *pebble.DB
	mark  *mark
	queue chan writing
	done  sync.WaitGroup
	err   error // of the first write that failed; nothing is written after it
}

// writing is a batch on its way to the disk.
type writing struct {
	batch *pebble.Batch
	reply chan<- error
}

func newWriter(db *pebble.DB, m *mark) *writer {
	w := &writer{db: db, mark: m, queue: make(chan writing, _maxMerged)}
	w.done.Go(w.run)
	return w
}

// write returns once the batch is synced.
func (w *writer) write(batch *pebble.Batch) error {
	reply := make(chan error, 1)
	w.queue <- writing{batch: batch, reply: reply}
	return <-reply
}

// close ends the writer and the database; nothing may be written after it.
func (w *writer) close() error {
	close(w.queue)
	w.done.Wait()
	if w.err != nil {
		// The library does not close a database that failed to sync.
		return errors.CombineErrors(w.err, w.mark.file.Close())
	}
	return errors.CombineErrors(w.db.Close(), w.mark.file.Close())
}

func (w *writer) run() {
	for first := range w.queue {
		list := w.gather(first)
		if w.err == nil {
			w.err = w.commit(list)
		}
		for _, one := range list {
			one.reply <- w.err
		}
	}
}

// gather returns the batches that wait, the first of them given.
func (w *writer) gather(first writing) []writing {
	list := []writing{first}
	for len(list) < _maxMerged {
		select {
		case next, open := <-w.queue:
			if !open {
				return list
			}
			list = append(list, next)
		default:
			return list
		}
	}
	return list
}

// commit syncs the batches as one; the library's way to report a failed sync is
// a panic.
func (w *writer) commit(list []writing) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("%v: %w", r, ErrFailed)
		}
	}()
	merged := list[0].batch
	for _, one := range list[1:] {
		if err := merged.Apply(one.batch, nil); err != nil {
			return errors.Errorf("merge writes: %w", err)
		}
	}
	next := w.mark.count + 1
	if err := set(merged, _count, count{Writes: next}); err != nil {
		return err
	}
	if err := merged.Commit(pebble.Sync); err != nil {
		return errors.Errorf("sync: %w", err)
	}
	return w.mark.set(next)
}
