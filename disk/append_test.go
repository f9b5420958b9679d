package disk

import (
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/damaskpitch/damaskpitch/raft"
)

// TestAppendDeletesNothing holds an append to the writes that it needs: the
// term and the entry. A deletion of the range behind each entry once made the
// database stand still for seconds after 28,000 of them.
func TestAppendDeletesNothing(t *testing.T) {
	const written = 2
	d := open(t, vfs.NewMem())
	if _, err := d.Load(0); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		index uint64
		want  uint32
	}{
		{"first", 1, written},
		{"second", 2, written},
		{"third", 3, written},
		{"replaces the second", 2, written + 1},
		{"goes on behind it", 3, written},
	}
	for _, c := range cases {
		cmd := raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: c.index, Term: 1}}}
		batch, err := d.saving(0, cmd)
		if err != nil {
			t.Fatal(err)
		}
		if got := batch.Count(); got != c.want {
			t.Errorf("%s: %d writes in the batch, want %d", c.name, got, c.want)
		}
		_ = batch.Close()
		if err := d.Save(0, cmd); err != nil {
			t.Fatal(err)
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkAppend syncs one entry after the other.
func BenchmarkAppend(b *testing.B) {
	d, err := Open(Config{Folder: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	for b.Loop() {
		index++
		if err := d.Save(0, raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: index, Term: 1, Data: make([]byte, 100)}}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := d.Close(); err != nil {
		b.Fatal(err)
	}
}
