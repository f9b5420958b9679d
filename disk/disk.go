package disk

import (
	"crypto/rand"
	"encoding/binary"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/damaskpitch/damaskpitch/raft"
	"github.com/damaskpitch/damaskpitch/wire"
)

var (
	// ErrCorrupt reports missing, damaged or inconsistent files.
	ErrCorrupt = errors.New("data folder is corrupt")
	// ErrFailed reports a write that may not have reached the disk. All later
	// writes fail with it as well.
	ErrFailed = errors.New("write to data folder failed")
	// ErrFormat reports files of an unsupported format version.
	ErrFormat = errors.New("data folder has an unsupported format version")
)

// Config sets the location of the files. FS defaults to the file system of the
// operating system.
type Config struct {
	Folder string
	FS     vfs.FS
	// OnFull, if set, is called with true when the disk is full and with false
	// when it has free space again. Writes block in between.
	OnFull func(full bool)
}

// Disk is an open data folder.
type Disk struct {
	db      *pebble.DB
	id      uint64
	created bool

	writer *writer

	mu        sync.Mutex
	lastIndex map[uint32]uint64 // index of each group's last entry, if known
}

// Identity is the stored format version and ID of a data folder.
type Identity struct {
	Format uint32 `json:"format"`
	ID     uint64 `json:"id"`
}

// hardState is the term and vote of a replica.
type hardState struct {
	Term uint64 `json:"term"`
	Vote uint64 `json:"vote"`
}

// writeCount is the number of writes that the database contains.
type writeCount struct {
	Writes uint64 `json:"writes"`
}

const _databaseFolder = "db"

var _codec = wire.NewCodec(Identity{}, hardState{}, raft.Entry{}, raft.Snapshot{}, writeCount{})

// Open opens the data folder, or creates it with a random ID.
func Open(cfg Config) (*Disk, error) {
	if cfg.FS == nil {
		cfg.FS = vfs.Default
	}
	cfg.FS = manifestFS{waitWhileFull(cfg)}
	db, err := pebble.Open(cfg.FS.PathJoin(cfg.Folder, _databaseFolder), &pebble.Options{
		FS:                 cfg.FS,
		Logger:             discardLogger{},
		FormatMajorVersion: pebble.FormatNewest,
	})
	if err != nil {
		return nil, errors.Errorf("open data folder %q: %w", cfg.Folder, err)
	}
	d := &Disk{db: db, lastIndex: map[uint32]uint64{}}
	if err := d.verify(cfg); err != nil {
		return nil, errors.Errorf("open data folder %q: %w", cfg.Folder, errors.CombineErrors(err, d.closeAfterFailure()))
	}
	return d, nil
}

// closeAfterFailure closes what a failed Open has opened so far.
func (d *Disk) closeAfterFailure() error {
	if d.writer == nil {
		return d.db.Close()
	}
	return d.writer.close()
}

// verify checks that the database contains all the writes that the counter file
// has recorded, starts the writer, and loads or creates the identity.
func (d *Disk) verify(cfg Config) error {
	c, err := openCounter(cfg.FS, cfg.Folder)
	if err != nil {
		return err
	}
	stored, err := getRecord[writeCount](d.db, _writeCountKey)
	if err != nil {
		return errors.Errorf("read number of writes: %w", err)
	}
	if stored == nil {
		stored = &writeCount{}
	}
	if stored.Writes < c.writeCount {
		return errors.Errorf("database contains %d of %d completed writes: %w", stored.Writes, c.writeCount, ErrCorrupt)
	}
	c.writeCount = stored.Writes
	d.writer = newWriter(d.db, c)
	return d.loadIdentity()
}

// commit writes a batch and returns once it is synced and counted.
func (d *Disk) commit(batch *pebble.Batch) error {
	return d.writer.write(batch)
}

// ID returns the ID of the data folder.
func (d *Disk) ID() uint64 {
	return d.id
}

// Created reports whether the data folder was empty and has got a new ID.
func (d *Disk) Created() bool {
	return d.created
}

// Close closes the data folder.
func (d *Disk) Close() error {
	err := d.writer.close()
	if err != nil {
		return errors.Errorf("close data folder: %w", err)
	}
	return nil
}

// Save writes the term, vote and entries of a replica and syncs them.
func (d *Disk) Save(group uint32, cmd raft.SaveCmd) error {
	batch, err := d.saveBatch(group, cmd)
	if err != nil {
		return err
	}
	defer batch.Close()
	if err := d.commit(batch); err != nil {
		return err
	}
	if n := len(cmd.Entries); n > 0 {
		d.setLastIndex(group, cmd.Entries[n-1].Index)
	}
	return nil
}

// saveBatch returns the batch for Save. It deletes a range only if it replaces
// entries: range deletions up to the end of the log all overlap each other, and
// the cost of overlapping range deletions in the database is quadratic.
func (d *Disk) saveBatch(group uint32, cmd raft.SaveCmd) (*pebble.Batch, error) {
	batch := d.db.NewBatch()
	if err := store(batch, recordKey(group, _hardStateKind, 0), hardState{Term: cmd.Term, Vote: cmd.Vote}); err != nil {
		return nil, err
	}
	if len(cmd.Entries) > 0 && d.mayReplace(group, cmd.Entries[0].Index) {
		from := recordKey(group, _entryKind, cmd.Entries[0].Index)
		if err := batch.DeleteRange(from, recordKey(group, _entryKind+1, 0), nil); err != nil {
			return nil, errors.Errorf("replace entries: %w", err)
		}
	}
	for _, e := range cmd.Entries {
		if err := store(batch, recordKey(group, _entryKind, e.Index), e); err != nil {
			return nil, err
		}
	}
	return batch, nil
}

// mayReplace reports whether the data folder may contain entries from an index
// on.
func (d *Disk) mayReplace(group uint32, from uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	lastIndex, known := d.lastIndex[group]
	return !known || from <= lastIndex
}

func (d *Disk) setLastIndex(group uint32, index uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastIndex[group] = index
}

// Snapshot writes a snapshot, deletes the entries that it covers, and syncs. With
// Reset it deletes all entries.
func (d *Disk) Snapshot(group uint32, cmd raft.SnapshotCmd) error {
	batch := d.db.NewBatch()
	defer batch.Close()
	if err := store(batch, recordKey(group, _snapshotKind, 0), cmd.Snapshot); err != nil {
		return err
	}
	end := recordKey(group, _entryKind, cmd.Snapshot.Index+1)
	if cmd.Reset {
		end = recordKey(group, _entryKind+1, 0)
	}
	if err := batch.DeleteRange(recordKey(group, _entryKind, 0), end, nil); err != nil {
		return errors.Errorf("delete entries: %w", err)
	}
	if err := d.commit(batch); err != nil {
		return err
	}
	if cmd.Reset {
		d.setLastIndex(group, cmd.Snapshot.Index)
	}
	return nil
}

// loadIdentity reads the identity of the data folder, or creates one.
func (d *Disk) loadIdentity() error {
	found, err := getRecord[Identity](d.db, _identityKey)
	if err != nil {
		return errors.Errorf("read identity: %w", err)
	}
	if found != nil && found.Format != wire.Version {
		return errors.Errorf("format version %d: %w", found.Format, ErrFormat)
	}
	if found != nil {
		d.id = found.ID
		return nil
	}
	id := Identity{Format: wire.Version, ID: randomID()}
	batch := d.db.NewBatch()
	defer batch.Close()
	if err := store(batch, _identityKey, id); err != nil {
		return err
	}
	if err := d.commit(batch); err != nil {
		return errors.Errorf("write identity: %w", err)
	}
	d.id = id.ID
	d.created = true
	return nil
}

// randomID returns a random positive ID that fits into 63 bits.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])>>1 | 1
}

// discardLogger discards the log lines of the storage library. Fatalf must not
// return, so it panics.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(format string, args ...any) {
	panic(errors.Newf(format, args...))
}
