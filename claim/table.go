package claim

import "maps"

// table holds the records. While it is frozen the base stands still, so that a
// snapshot can be written from it at leisure, and changes go to a layer above.
type table struct {
	base   map[string]Record
	above  map[string]change
	frozen bool
}

// change is a record that was written or deleted while the base stood still.
type change struct {
	record Record
	gone   bool
}

func newTable() table {
	return table{base: map[string]Record{}}
}

func (t *table) get(key string) (Record, bool) {
	if c, ok := t.above[key]; ok {
		return c.record, !c.gone
	}
	r, ok := t.base[key]
	return r, ok
}

func (t *table) put(key string, r Record) {
	if t.frozen {
		t.above[key] = change{record: r}
		return
	}
	t.base[key] = r
}

func (t *table) drop(key string) {
	if t.frozen {
		t.above[key] = change{gone: true}
		return
	}
	delete(t.base, key)
}

// freeze lets the base stand still and returns it.
func (t *table) freeze() map[string]Record {
	t.frozen = true
	t.above = map[string]change{}
	return t.base
}

// thaw moves the layer above into the base.
func (t *table) thaw() {
	t.frozen = false
	for key, c := range t.above {
		if c.gone {
			delete(t.base, key)
			continue
		}
		t.base[key] = c.record
	}
	t.above = nil
}

// all returns a copy of every record.
func (t *table) all() map[string]Record {
	records := maps.Clone(t.base)
	for key, c := range t.above {
		if c.gone {
			delete(records, key)
			continue
		}
		records[key] = c.record
	}
	return records
}
