package store

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/floor"
	"github.com/damaskpitch/damaskpitch/poison"
	"github.com/damaskpitch/damaskpitch/view"
	"github.com/damaskpitch/damaskpitch/wire"
)

// Snapshot is the whole state at one log index.
type Snapshot struct {
	Index          uint64                    `json:"index"`
	At             time.Duration             `json:"at"`
	View           view.Snapshot             `json:"view"`
	Arbiters       map[string]floor.Model    `json:"arbiters"`
	Claims         map[string]claim.Record   `json:"claims"`
	Requests       map[string]StoredResult   `json:"requests"`
	Suspects       map[uint64]poison.Suspect `json:"suspects"`
	BootstrapHosts map[uint32]uint64         `json:"founders,omitempty"`
	Departures     []RecordedDepartures      `json:"left,omitempty"`
}

// BeginSnapshot returns the current state, to be encoded while further entries are
// applied, or false if the previous snapshot was not ended by EndSnapshot. Its cost
// does not depend on the number of claims.
func (m Model) BeginSnapshot() (Model, Snapshot, bool) {
	claims, cmds := m.claims.Update(claim.BeginSnapshotMsg{})
	m.claims = claims
	for _, cmd := range cmds {
		if frozen, ok := cmd.(claim.SnapshotCmd); ok {
			return m, m.snapshot(frozen.Records), true
		}
	}
	return m, Snapshot{}, false
}

// EndSnapshot ends the snapshot that BeginSnapshot started, which must not be read
// afterwards.
func (m Model) EndSnapshot() Model {
	m.claims, _ = m.claims.Update(claim.EndSnapshotMsg{})
	return m
}

// Save encodes the whole state.
func (m Model) Save() ([]byte, error) {
	return m.snapshot(m.claims.Records()).Encode()
}

func (m Model) snapshot(claims map[string]claim.Record) Snapshot {
	s := Snapshot{
		Index:          m.index,
		At:             m.at,
		View:           m.view.Snapshot(),
		Arbiters:       make(map[string]floor.Model, len(m.arbiters)),
		Claims:         claims,
		Requests:       maps.Clone(m.requests),
		Suspects:       maps.Clone(m.poison.Suspects()),
		BootstrapHosts: maps.Clone(m.bootstrapHosts),
		Departures:     slices.Clone(m.departures),
	}
	for service, arbiter := range m.arbiters {
		arbiter.Instances = maps.Clone(arbiter.Instances)
		s.Arbiters[service] = arbiter
	}
	return s
}

// Encode returns the encoded snapshot.
func (s Snapshot) Encode() ([]byte, error) {
	data, err := Codec.Encode(s)
	if err != nil {
		return nil, errors.Errorf("save snapshot: %w", err)
	}
	return data, nil
}

// Load decodes a snapshot into a model.
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
		if arbiter.Instances == nil {
			arbiter.Instances = map[string]floor.InstanceState{}
		}
		m.arbiters[name] = arbiter
	}
	m.departures = s.Departures
	m.poison = poison.Restore(poison.Config{}, s.Suspects)
	for group, host := range s.BootstrapHosts {
		m.bootstrapHosts[group] = host
	}
	for request, stored := range s.Requests {
		m.requests[request] = stored
	}
	return m, nil
}
