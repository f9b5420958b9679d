package store

import (
	"time"

	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// _departureTTL is how long after an instance has said that it leaves its late reports
	// are recognised. Reports are delayed by seconds, or for as long as a partition lasts.
	_departureTTL = 10 * time.Minute
	// _maxDepartures bounds the departures that are kept: a quarter of the instances at
	// the planned size, 7.5 MB at each node.
	_maxDepartures = 50000
)

// RecordedDepartures is when the departures up to a revision were recorded.
type RecordedDepartures struct {
	Rev uint64        `json:"rev"`
	At  time.Duration `json:"at"`
}

// recordDeparture records that an instance has said that it leaves.
func (m *Model) recordDeparture(c RecordDeparture) Result {
	if c.Born <= 0 {
		return Stale{}
	}
	if m.view.HasLeft(c.Key, c.Born) {
		return Written{Rev: m.index}
	}
	i, known := m.view.Instance(c.Key)
	m.emit(view.InstanceLeft{Key: c.Key, Born: c.Born})
	m.departures = append(m.departures, RecordedDepartures{Rev: m.index, At: m.at})
	if known && !i.Leaving && m.view.HasLeft(c.Key, i.Born) {
		m.updateArbiter(i.Service, floor.LeaveMsg{ID: c.Key.String(), At: m.at})
	}
	if len(m.departures) > _maxDepartures {
		m.forgetDepartures(1)
	}
	return Written{Rev: m.index}
}

// expireDepartures forgets the departures whose time has passed.
func (m *Model) expireDepartures() {
	expired := 0
	for expired < len(m.departures) && m.departures[expired].At+_departureTTL <= m.at {
		expired++
	}
	if expired > 0 {
		m.forgetDepartures(expired)
	}
}

// forgetDepartures forgets the n oldest departures.
func (m *Model) forgetDepartures(n int) {
	m.emit(view.DeparturesForgotten{Until: m.departures[n-1].Rev})
	m.departures = m.departures[n:]
}
