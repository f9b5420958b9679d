package disk

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const (
	_probeFile = "room"
	// _probeSize is the free space needed to resume writes, enough for a few batches.
	_probeSize = 256 << 10
	// _probeInterval is the interval between checks for free space.
	_probeInterval = 100 * time.Millisecond
)

// waitWhileFull returns a file system whose writes block while the disk is full,
// as on a slow disk. A blocked host loses its leadership; one that exited would
// only restart on the same full disk.
func waitWhileFull(cfg Config) vfs.FS {
	inner := cfg.FS
	path := inner.PathJoin(cfg.Folder, _probeFile)
	return vfs.OnDiskFull(inner, func() {
		cfg.notifyFull(true)
		for !hasFreeSpace(inner, path) {
			time.Sleep(_probeInterval)
		}
		cfg.notifyFull(false)
	})
}

// hasFreeSpace reports whether a file of _probeSize bytes can be written.
func hasFreeSpace(fs vfs.FS, path string) bool {
	file, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return false
	}
	_, err = file.Write(make([]byte, _probeSize))
	err = errors.CombineErrors(err, file.Close())
	return errors.CombineErrors(err, fs.Remove(path)) == nil
}

func (c Config) notifyFull(full bool) {
	if c.OnFull != nil {
		c.OnFull(full)
	}
}
