package disk

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

const _manifestPrefix = "MANIFEST-"

// manifestFS makes the name of a new manifest durable with its first sync. The library writes
// the marker that refers to the manifest before it syncs their folder, and a loss of power
// may keep the marker without the manifest.
type manifestFS struct {
	vfs.FS
}

// Create creates a file.
func (fs manifestFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := fs.FS.Create(name, category)
	if err != nil || !strings.HasPrefix(fs.PathBase(name), _manifestPrefix) {
		return file, err
	}
	return &manifestFile{File: file, fs: fs.FS, folder: fs.PathDir(name)}, nil
}

type manifestFile struct {
	vfs.File
	fs     vfs.FS
	folder string
	named  bool // the name is durable
}

// Sync syncs the file, and its folder the first time.
func (f *manifestFile) Sync() error {
	if err := f.File.Sync(); err != nil || f.named {
		return err
	}
	folder, err := f.fs.OpenDir(f.folder)
	if err != nil {
		return errors.Errorf("open folder of manifest: %w", err)
	}
	if err := errors.CombineErrors(folder.Sync(), folder.Close()); err != nil {
		return errors.Errorf("sync folder of manifest: %w", err)
	}
	f.named = true
	return nil
}
