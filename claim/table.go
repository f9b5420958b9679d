package claim

import "maps"

// table stores the records. While it is frozen the base does not change, so that
// a snapshot can be encoded from it in the background; changes go to the overlay.
type table struct {
	base    map[string]Record
	overlay map[string]change
	frozen  bool
}

// change is a record that was written or deleted while the table was frozen.
type change struct {
	record  Record
	deleted bool
}

func newTable() table {
	return table{base: map[string]Record{}}
}

func (t *table) get(key string) (Record, bool) {
	if c, ok := t.overlay[key]; ok {
		return c.record, !c.deleted
	}
	r, ok := t.base[key]
	return r, ok
}

func (t *table) put(key string, r Record) {
	if t.frozen {
		t.overlay[key] = change{record: r}
		return
	}
	t.base[key] = r
}

func (t *table) remove(key string) {
	if t.frozen {
		t.overlay[key] = change{deleted: true}
		return
	}
	delete(t.base, key)
}

// beginSnapshot freezes the table and returns the base.
func (t *table) beginSnapshot() map[string]Record {
	t.frozen = true
	t.overlay = map[string]change{}
	return t.base
}

// endSnapshot merges the overlay into the base and unfreezes the table.
func (t *table) endSnapshot() {
	t.frozen = false
	for key, c := range t.overlay {
		if c.deleted {
			delete(t.base, key)
			continue
		}
		t.base[key] = c.record
	}
	t.overlay = nil
}

// all returns a copy of all records.
func (t *table) all() map[string]Record {
	records := maps.Clone(t.base)
	for key, c := range t.overlay {
		if c.deleted {
			delete(records, key)
			continue
		}
		records[key] = c.record
	}
	return records
}
