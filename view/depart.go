package view

import (
	"cmp"
	"maps"
	"slices"
)

// Departure is an instance that has said that it leaves. It stays so until it restarts,
// whatever its node says of it after a restart of its own.
type Departure struct {
	Key Key `json:"key"`
	// Born is the instance's start, or a time at which it was running.
	Born int64 `json:"born"`
	// Rev is the revision at which the departure was recorded.
	Rev uint64 `json:"rev"`
}

// HasLeft reports whether the given start of an instance has said that it leaves. It is
// false for an instance that does not say when it started.
func (v *View) HasLeft(k Key, born int64) bool {
	departure, ok := v.departures[k]
	return ok && born > 0 && born <= departure.Born
}

// DeparturesOf returns the instances of a node that have said that they leave: for each
// ID the latest start.
func (v *View) DeparturesOf(node string) map[string]int64 {
	list := map[string]int64{}
	for k, departure := range v.departures {
		if k.Node == node {
			list[k.ID] = departure.Born
		}
	}
	return list
}

// Departures returns all departures in the order in which they were recorded.
func (v *View) Departures() []Departure {
	return slices.SortedFunc(maps.Values(v.departures), func(a, b Departure) int {
		return cmp.Or(cmp.Compare(a.Rev, b.Rev), compareKeys(a.Key, b.Key))
	})
}

// putDeparture records a departure and marks the instance as leaving.
func (v *View) putDeparture(d Departure) []string {
	if old, ok := v.departures[d.Key]; !ok || old.Born <= d.Born {
		v.departures[d.Key] = d
	}
	i, ok := v.Instance(d.Key)
	if !ok || !v.HasLeft(d.Key, i.Born) {
		return nil
	}
	v.instances[d.Key.Node][d.Key.ID] = i.WithLeaving()
	return []string{i.Service}
}

// forgetDepartures forgets the departures that were recorded up to a revision.
func (v *View) forgetDepartures(rev uint64) {
	maps.DeleteFunc(v.departures, func(_ Key, d Departure) bool { return d.Rev <= rev })
}
