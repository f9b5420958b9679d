package disk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"github.com/damaskpitch/damaskpitch/raft"
)

// TestCrashAtEveryPoint simulates a crash after every write, which drops none,
// some or all of the unsynced data, and checks that exactly the acknowledged
// writes are found afterwards.
func TestCrashAtEveryPoint(t *testing.T) {
	for seed := range uint64(40) {
		fs := vfs.NewCrashableMem()
		d := open(t, fs)
		id := d.ID()
		rng := rand.New(rand.NewPCG(seed, 1))
		var want raft.State
		for n := range 30 {
			want = write(t, d, want, rng, n)
			crashed := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: int(seed % 3 * 50), RNG: rng})
			again := open(t, crashed)
			if again.ID() != id {
				t.Fatalf("seed %d: identity changed from %d to %d", seed, id, again.ID())
			}
			got, err := again.Load(0)
			if err != nil {
				t.Fatalf("seed %d, write %d: %v", seed, n, err)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("seed %d, write %d: got %v, want %v", seed, n, got, want)
			}
			if err := again.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if err := d.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// write performs a random write and returns the state expected after it.
func write(t *testing.T, d *Disk, s raft.State, rng *rand.Rand, n int) raft.State {
	last := s.Snapshot.Index + uint64(len(s.Entries))
	if n > 5 && rng.IntN(5) == 0 && len(s.Entries) > 2 {
		cut := uint64(rng.IntN(len(s.Entries)-1) + 1)
		e := s.Entries[cut-1]
		s.Snapshot = raft.Snapshot{Index: e.Index, Term: e.Term, Data: []byte(fmt.Sprint(n))}
		s.Entries = s.Entries[cut:]
		if err := d.Snapshot(0, raft.SnapshotCmd{Snapshot: s.Snapshot}); err != nil {
			t.Fatal(err)
		}
		return s
	}
	s.Term++
	from := last + 1
	if len(s.Entries) > 2 && rng.IntN(3) == 0 {
		from -= 2
	}
	var entries []raft.Entry
	for i := range uint64(3) {
		entries = append(entries, raft.Entry{Index: from + i, Term: s.Term, Data: []byte{byte(n)}})
	}
	s.Entries = append(s.Entries[:from-s.Snapshot.Index-1:from-s.Snapshot.Index-1], entries...)
	if err := d.Save(0, raft.SaveCmd{Term: s.Term, Entries: entries}); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestFailedSync checks that a write whose sync failed returns ErrFailed, and that
// all later writes do too.
func TestFailedSync(t *testing.T) {
	toggle := &errorfs.Toggle{Injector: errorfs.ErrInjected}
	fs := errorfs.Wrap(vfs.NewMem(), toggle)
	d := open(t, fs)
	toggle.On()
	save := func(index uint64) error {
		return d.Save(0, raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: index, Term: 1}}})
	}
	if err := save(1); !errors.Is(err, ErrFailed) {
		t.Fatalf("failed sync returned %v", err)
	}
	toggle.Off()
	if err := save(2); !errors.Is(err, ErrFailed) {
		t.Fatalf("write after a failed sync returned %v", err)
	}
	if err := d.Close(); !errors.Is(err, ErrFailed) {
		t.Errorf("Close returned %v", err)
	}
}

// TestFlippedBit flips bits in the tables and logs of a closed data folder. Each
// flip must be detected or must not change the loaded state.
func TestFlippedBit(t *testing.T) {
	folder := t.TempDir()
	d, err := Open(Config{Folder: folder})
	if err != nil {
		t.Fatal(err)
	}
	want := raft.State{}
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 20 {
		want = write(t, d, want, rng, n)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*", "*.*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		whole, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for at := 0; at < len(whole); at += max(1, len(whole)/40) {
			corrupted := append([]byte(nil), whole...)
			corrupted[at] ^= 1 << (at % 8)
			checkCorrupted(t, folder, file[len(folder):], corrupted, want)
		}
	}
}

func checkCorrupted(t *testing.T, folder, file string, data []byte, want raft.State) {
	work := t.TempDir()
	if err := os.CopyFS(filepath.Join(work, "d"), os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(work, "d", file), data, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := Open(Config{Folder: filepath.Join(work, "d")})
	if err != nil {
		return
	}
	defer d.Close()
	got, err := d.Load(0)
	if err == nil && fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: loaded %v after a bit flip, want %v", file, got, want)
	}
}

func open(t *testing.T, fs vfs.FS) *Disk {
	t.Helper()
	d, err := Open(Config{Folder: "data", FS: fs})
	if err != nil {
		t.Fatal(err)
	}
	return d
}
