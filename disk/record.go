package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"
)

const (
	_hard     byte = 'h'
	_entry    byte = 'l'
	_snapshot byte = 's'

	_sumSize = 8
)

var (
	_identity = []byte("identity")
	_count    = []byte("count")
)

// key orders a group's records by kind and index.
func key(group uint32, kind byte, index uint64) []byte {
	k := make([]byte, 0, 14)
	k = append(k, 'g')
	k = binary.BigEndian.AppendUint32(k, group)
	k = append(k, kind)
	return binary.BigEndian.AppendUint64(k, index)
}

func set(batch *pebble.Batch, k []byte, v any) error {
	data, err := seal(v)
	if err != nil {
		return err
	}
	if err := batch.Set(k, data, nil); err != nil {
		return errors.Errorf("write record: %w", err)
	}
	return nil
}

// get returns the record at a key, or nil if there is none.
func get[T any](db *pebble.DB, k []byte) (*T, error) {
	data, closer, err := db.Get(k)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil //nolint:nilnil // no record is no error
	}
	if err != nil {
		return nil, errors.Errorf("read record: %w", err)
	}
	v, err := decode[T](data)
	return v, errors.CombineErrors(err, closer.Close())
}

// seal returns a record's bytes with their checksum in front.
func seal(v any) ([]byte, error) {
	body, err := _codec.Encode(v)
	if err != nil {
		return nil, err
	}
	data := binary.BigEndian.AppendUint64(make([]byte, 0, _sumSize+len(body)), xxhash.Sum64(body))
	return append(data, body...), nil
}

func decode[T any](data []byte) (*T, error) {
	if len(data) < _sumSize || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[_sumSize:]) {
		return nil, errors.Errorf("checksum: %w", ErrCorrupt)
	}
	msg, err := _codec.Decode(data[_sumSize:])
	if err != nil {
		return nil, errors.Mark(errors.Errorf("record: %w", err), ErrCorrupt)
	}
	v, ok := msg.(T)
	if !ok {
		return nil, errors.Errorf("record is %T: %w", msg, ErrCorrupt)
	}
	return &v, nil
}
