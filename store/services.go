package store

import "github.com/damaskpitch/damaskpitch/view"

func (m *Model) putService(c PutService) Result {
	if conflict := m.checkRevision(c.Service.Name, c.Match); conflict != nil {
		return conflict
	}
	m.emit(view.ServicePut{Service: c.Service})
	m.setFloor(c.Service)
	return Written{Rev: m.index}
}

func (m *Model) dropService(c DropService) Result {
	if _, ok := m.view.Service(c.Name); !ok {
		return NotFound{}
	}
	if conflict := m.checkRevision(c.Name, c.Match); conflict != nil {
		return conflict
	}
	m.emit(view.ServiceDeleted{Name: c.Name})
	return Written{Rev: m.index}
}

func (m *Model) checkRevision(name string, match int64) Result {
	if match == AnyRev {
		return nil
	}
	current, _ := m.view.Service(name)
	if current.Rev != uint64(match) {
		return Conflict{Rev: current.Rev}
	}
	return nil
}
