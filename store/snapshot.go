package store

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// Snapshot is the whole state at one place in the log.
type Snapshot struct {
	Index    uint64                    `json:"index"`
	At       time.Duration             `json:"at"`
	View     view.Snapshot             `json:"view"`
	Arbiters map[string]floor.Model    `json:"arbiters"`
	Claims   map[string]claim.Record   `json:"claims"`
	Requests map[string]Kept           `json:"requests"`
	Suspects map[uint64]poison.Suspect `json:"suspects"`
	Founders map[uint32]uint64         `json:"founders,omitempty"`
}

// Freeze returns the whole state as it is now, to be encoded while entries go
// on being applied, or false if an earlier Freeze was not ended by Thaw. Its
// cost does not grow with the claims.
func (m Model) Freeze() (Model, Snapshot, bool) {
	claims, cmds := m.claims.Update(claim.BeginSnapshotMsg{})
	m.claims = claims
	for _, cmd := range cmds {
		if frozen, ok := cmd.(claim.SnapshotCmd); ok {
			return m, m.snapshot(frozen.Records), true
		}
	}
	return m, Snapshot{}, false
}

// Thaw ends a Freeze: its snapshot must not be read any more.
func (m Model) Thaw() Model {
	m.claims, _ = m.claims.Update(claim.EndSnapshotMsg{})
	return m
}

// Save returns the whole state as bytes.
func (m Model) Save() ([]byte, error) {
	return m.snapshot(m.claims.Records()).Encode()
}

func (m Model) snapshot(claims map[string]claim.Record) Snapshot {
	s := Snapshot{
		Index:    m.index,
		At:       m.at,
		View:     m.view.Snapshot(),
		Arbiters: make(map[string]floor.Model, len(m.arbiters)),
		Claims:   claims,
		Requests: maps.Clone(m.requests),
		Suspects: maps.Clone(m.poison.Suspects()),
		Founders: maps.Clone(m.founders),
	}
	for service, arbiter := range m.arbiters {
		arbiter.Known = maps.Clone(arbiter.Known)
		s.Arbiters[service] = arbiter
	}
	return s
}

// Encode returns the snapshot as bytes.
func (s Snapshot) Encode() ([]byte, error) {
	data, err := Codec.Encode(s)
	if err != nil {
		return nil, errors.Errorf("save snapshot: %w", err)
	}
	return data, nil
}

// Load returns the state that the bytes hold.
func Load(cfg Config, data []byte) (Model, error) {
	msg, err := Codec.Decode(data)
	if err != nil {
		return Model{}, errors.Errorf("load snapshot: %w", err)
	}
	s, ok := msg.(Snapshot)
	if !ok {
		return Model{}, errors.Errorf("load snapshot: %T: %w", msg, wire.ErrDecode)
	}
	m := New(cfg)
	m.index = s.Index
	m.at = s.At
	m.view = view.FromSnapshot(s.View)
	m.claims = claim.Restore(claim.Config{Retention: m.cfg.Retention}, s.Claims)
	m.history = view.NewHistory(s.View.Rev, m.cfg.History)
	for name, arbiter := range s.Arbiters {
		if arbiter.Known == nil {
			arbiter.Known = map[string]floor.Standing{}
		}
		m.arbiters[name] = arbiter
	}
	m.poison = poison.Restore(poison.Config{}, s.Suspects)
	for group, host := range s.Founders {
		m.founders[group] = host
	}
	for request, kept := range s.Requests {
		m.requests[request] = kept
	}
	return m, nil
}
