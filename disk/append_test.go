package disk

import (
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/damaskpitch/damaskpitch/raft"
)

// TestAppendDeletesNothing checks that an append writes only the term and the
// entry. A range deletion with every append once stalled the database for
// seconds after 28,000 appends.
func TestAppendDeletesNothing(t *testing.T) {
	const appendWrites = 2
	d := open(t, vfs.NewMem())
	if _, err := d.Load(0); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		index uint64
		want  uint32
	}{
		{"first", 1, appendWrites},
		{"second", 2, appendWrites},
		{"third", 3, appendWrites},
		{"replaces the second", 2, appendWrites + 1},
		{"appends after the replacement", 3, appendWrites},
	}
	for _, c := range cases {
		cmd := raft.SaveCmd{Term: 1, Entries: []raft.Entry{{Index: c.index, Term: 1}}}
		batch, err := d.saveBatch(0, cmd)
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

// BenchmarkAppend measures appends that each sync one entry.
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
