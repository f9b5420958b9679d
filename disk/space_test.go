package disk

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"github.com/damaskpitch/damaskpitch/raft"
)

// TestFullDisk checks that a write blocks while the disk is full and succeeds once
// there is free space again.
func TestFullDisk(t *testing.T) {
	var full, notified atomic.Bool
	fs := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		if full.Load() && (op.Kind == errorfs.OpFileWrite || op.Kind == errorfs.OpCreate) {
			return syscall.ENOSPC
		}
		return nil
	}))
	if err := fs.MkdirAll("data", 0o700); err != nil {
		t.Fatal(err)
	}
	d, err := Open(Config{Folder: "data", FS: fs, OnFull: func(on bool) {
		if on {
			notified.Store(true)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	done := make(chan error, 1)
	go func() {
		done <- d.Save(0, raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: 1, Term: 1, Data: []byte("a")}}})
	}()
	select {
	case err := <-done:
		t.Fatalf("write returned while the disk was full: %v", err)
	case <-time.After(3 * _probeInterval):
	}
	full.Store(false)
	if err := <-done; err != nil || !notified.Load() {
		t.Fatalf("write after space was freed: %v, notified %v", err, notified.Load())
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}
