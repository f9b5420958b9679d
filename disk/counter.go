package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const (
	_counterFile         = "mark"
	_counterSlotSize     = 16
	_counterSlots        = 2
	_counterSyncInterval = 64
)

// counter records the number of completed writes in a file next to the database.
// A database that contains fewer writes has lost some. The database's own log
// cannot detect this, because it looks like an incomplete write at its end.
type counter struct {
	file       vfs.File
	writeCount uint64
}

func openCounter(fs vfs.FS, folder string) (*counter, error) {
	path := fs.PathJoin(folder, _counterFile)
	file, err := fs.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return nil, errors.Errorf("open write counter: %w", err)
	}
	c := &counter{file: file}
	for slot := range int64(_counterSlots) {
		c.writeCount = max(c.writeCount, c.readSlot(slot))
	}
	return c, nil
}

// readSlot returns the count in a slot, or 0 if the slot is empty or incomplete.
func (c *counter) readSlot(slot int64) uint64 {
	var data [_counterSlotSize]byte
	if _, err := c.file.ReadAt(data[:], slot*_counterSlotSize); err != nil {
		return 0
	}
	if binary.BigEndian.Uint64(data[8:]) != xxhash.Sum64(data[:8]) {
		return 0
	}
	return binary.BigEndian.Uint64(data[:8])
}

// store records the number of completed writes. It alternates between the slots,
// so that an incomplete write to one leaves the other intact.
func (c *counter) store(writeCount uint64) error {
	c.writeCount = writeCount
	var data [_counterSlotSize]byte
	binary.BigEndian.PutUint64(data[:8], writeCount)
	binary.BigEndian.PutUint64(data[8:], xxhash.Sum64(data[:8]))
	if _, err := c.file.WriteAt(data[:], int64(writeCount%_counterSlots)*_counterSlotSize); err != nil {
		return errors.Errorf("update write counter: %w", err)
	}
	if writeCount%_counterSyncInterval != 0 {
		return nil
	}
	if err := c.file.Sync(); err != nil {
		return errors.Errorf("sync write counter: %w", err)
	}
	return nil
}
