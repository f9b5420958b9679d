package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const (
	_markFile  = "mark"
	_markSize  = 16
	_markSlots = 2
	_markSync  = 64
)

// mark counts the finished writes beside the database: a database that holds
// fewer has lost some, which its own log cannot tell from a torn tail.
type mark struct {
	file  vfs.File
	count uint64
}

func openMark(fs vfs.FS, folder string) (*mark, error) {
	path := fs.PathJoin(folder, _markFile)
	file, err := fs.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return nil, errors.Errorf("open mark: %w", err)
	}
	m := &mark{file: file}
	for slot := range int64(_markSlots) {
		m.count = max(m.count, m.read(slot))
	}
	return m, nil
}

// read returns a slot's count, or 0 for a slot that was not written whole.
func (m *mark) read(slot int64) uint64 {
	var data [_markSize]byte
	if _, err := m.file.ReadAt(data[:], slot*_markSize); err != nil {
		return 0
	}
	if binary.BigEndian.Uint64(data[8:]) != xxhash.Sum64(data[:8]) {
		return 0
	}
	return binary.BigEndian.Uint64(data[:8])
}

// set notes a finished write; the slots take turns, so that a torn one leaves
// the other.
func (m *mark) set(count uint64) error {
	m.count = count
	var data [_markSize]byte
	binary.BigEndian.PutUint64(data[:8], count)
	binary.BigEndian.PutUint64(data[8:], xxhash.Sum64(data[:8]))
	if _, err := m.file.WriteAt(data[:], int64(count%_markSlots)*_markSize); err != nil {
		return errors.Errorf("write mark: %w", err)
	}
	if count%_markSync != 0 {
		return nil
	}
	if err := m.file.Sync(); err != nil {
		return errors.Errorf("sync mark: %w", err)
	}
	return nil
}
