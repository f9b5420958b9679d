package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
)

const (
	_hardStateKind byte = 'h'
	_entryKind     byte = 'l'
	_snapshotKind  byte = 's'

	_checksumSize = 8
)

var (
	_identityKey   = []byte("identity")
	_writeCountKey = []byte("count")
)

// recordKey returns the key of a record. Keys sort by group, kind and index.
func recordKey(group uint32, kind byte, index uint64) []byte {
	k := make([]byte, 0, 14)
	k = append(k, 'g')
	k = binary.BigEndian.AppendUint32(k, group)
	k = append(k, kind)
	return binary.BigEndian.AppendUint64(k, index)
}

// store adds a record to a batch.
func store(batch *pebble.Batch, k []byte, v any) error {
	data, err := encode(v)
	if err != nil {
		return err
	}
	if err := batch.Set(k, data, nil); err != nil {
		return errors.Errorf("write record: %w", err)
	}
	return nil
}

// getRecord returns the record with a key, or nil if there is none.
func getRecord[T any](db *pebble.DB, k []byte) (*T, error) {
	data, closer, err := db.Get(k)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil //nolint:nilnil // a missing record is not an error
	}
	if err != nil {
		return nil, errors.Errorf("read record: %w", err)
	}
	v, err := decode[T](data)
	return v, errors.CombineErrors(err, closer.Close())
}

// encode returns the encoded record, prefixed with its checksum.
func encode(v any) ([]byte, error) {
	body, err := _codec.Encode(v)
	if err != nil {
		return nil, err
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, _checksumSize+len(body)), xxhash.Sum64(body))
	return append(data, body...), nil
}

// decode verifies the checksum of a record and decodes it.
func decode[T any](data []byte) (*T, error) {
	if len(data) < _checksumSize || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[_checksumSize:]) {
		return nil, errors.Errorf("checksum mismatch: %w", ErrCorrupt)
	}
	msg, err := _codec.Decode(data[_checksumSize:])
	if err != nil {
		return nil, errors.Mark(errors.Errorf("decode record: %w", err), ErrCorrupt)
	}
	v, ok := msg.(T)
	if !ok {
		return nil, errors.Errorf("unexpected record type %T: %w", msg, ErrCorrupt)
	}
	return &v, nil
}
