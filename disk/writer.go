package disk

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
)

const _maxBatchesPerSync = 64

// writer commits the batches of all groups in order. Batches that are queued at
// the same time share one sync.
type writer struct {
	db      *pebble.DB
	counter *counter
	queue   chan writeRequest
	done    sync.WaitGroup
	err     error // error of the first failed write, returned for all later ones
}

// writeRequest is a queued batch.
type writeRequest struct {
	batch *pebble.Batch
	reply chan<- error
}

func newWriter(db *pebble.DB, c *counter) *writer {
	w := &writer{db: db, counter: c, queue: make(chan writeRequest, _maxBatchesPerSync)}
	w.done.Go(w.run)
	return w
}

// write returns once the batch is synced.
func (w *writer) write(batch *pebble.Batch) error {
	reply := make(chan error, 1)
	w.queue <- writeRequest{batch: batch, reply: reply}
	return <-reply
}

// close stops the writer once the queue is empty and closes the database. No
// write may follow.
func (w *writer) close() error {
	close(w.queue)
	w.done.Wait()
	if w.err != nil {
		// The library cannot close a database after a failed sync.
		return errors.CombineErrors(w.err, w.counter.file.Close())
	}
	return errors.CombineErrors(w.db.Close(), w.counter.file.Close())
}

func (w *writer) run() {
	for first := range w.queue {
		requests := w.collect(first)
		if w.err == nil {
			w.err = w.commit(requests)
		}
		for _, request := range requests {
			request.reply <- w.err
		}
	}
}

// collect returns the first request and those queued behind it.
func (w *writer) collect(first writeRequest) []writeRequest {
	requests := []writeRequest{first}
	for len(requests) < _maxBatchesPerSync {
		select {
		case next, open := <-w.queue:
			if !open {
				return requests
			}
			requests = append(requests, next)
		default:
			return requests
		}
	}
	return requests
}

// commit merges the batches and syncs them as one. It recovers from the panic
// with which the library reports a failed sync.
func (w *writer) commit(requests []writeRequest) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("%v: %w", r, ErrFailed)
		}
	}()
	merged := requests[0].batch
	for _, request := range requests[1:] {
		if err := merged.Apply(request.batch, nil); err != nil {
			return errors.Errorf("merge writes: %w", err)
		}
	}
	next := w.counter.writeCount + 1
	if err := store(merged, _writeCountKey, writeCount{Writes: next}); err != nil {
		return err
	}
	if err := merged.Commit(pebble.Sync); err != nil {
		return errors.Errorf("sync: %w", err)
	}
	return w.counter.store(next)
}
