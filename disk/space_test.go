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

// TestDiskFullRepeatedly guards against a data folder that takes no more writes after its
// disk has been full several times, also while the library moves data in the background.
func TestDiskFullRepeatedly(t *testing.T) {
	const (
		rounds    = 6
		entrySize = 128 << 10
		perRound  = 20
		maxWait   = 5 * time.Second // for a write once there is space
	)
	var full atomic.Bool
	fs := errorfs.Wrap(vfs.NewMem(), errorfs.InjectorFunc(func(op errorfs.Op) error {
		switch op.Kind {
		case errorfs.OpFileWrite, errorfs.OpFileWriteAt, errorfs.OpCreate, errorfs.OpReuseForWrite, errorfs.OpMkdirAll:
			if full.Load() {
				return syscall.ENOSPC
			}
		}
		return nil
	}))
	if err := fs.MkdirAll("data", 0o700); err != nil {
		t.Fatal(err)
	}
	d, err := Open(Config{Folder: "data", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	index := uint64(0)
	for round := range rounds {
		for n := range perRound {
			if n == perRound/2 {
				full.Store(true)
				time.AfterFunc(2*_probeInterval, func() { full.Store(false) })
			}
			index++
			done := make(chan error, 1)
			go func() {
				done <- d.Save(0, raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: index, Term: 1, Data: make([]byte, entrySize)}}})
			}()
			select {
			case err := <-done:
				if err != nil {
					t.Fatalf("round %d, write %d: %v", round, n, err)
				}
			case <-time.After(maxWait):
				t.Fatalf("round %d: write %d does not return", round, n)
			}
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d, err = Open(Config{Folder: "data", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	state, err := d.Load(0)
	if err != nil || len(state.Entries) != int(index) {
		t.Errorf("%d of %d entries after the restart, %v", len(state.Entries), index, err)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}
