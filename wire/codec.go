package wire

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the format version of every frame and file.
	Version = 1

	_firstTag    = 60000
	_maxElements = 1 << 22
)

var (
	// ErrVersion reports a frame whose version this build does not support.
	ErrVersion = errors.New("unknown frame version")
	// ErrDecode reports bytes that are not a known message.
	ErrDecode = errors.New("malformed message")
)

// Checker is a message whose fields are validated after decoding.
type Checker interface {
	Check() error
}

// Codec encodes and decodes a fixed set of message types.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns a codec for the given types. A type is identified by its
// position in the list, so new types must be added at the end.
func NewCodec(types ...any) Codec {
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{EncTag: cbor.EncTagRequired, DecTag: cbor.DecTagRequired}
	for i, t := range types {
		if err := tags.Add(opts, reflect.TypeOf(t), uint64(_firstTag+i)); err != nil {
			panic(err)
		}
	}
	enc, err := cbor.EncOptions{OmitEmpty: cbor.OmitEmptyGoValue}.EncModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	limits := cbor.DecOptions{MaxArrayElements: _maxElements, MaxMapPairs: _maxElements}
	dec, err := limits.DecModeWithTags(tags)
	if err != nil {
		panic(err)
	}
	return Codec{enc: enc, dec: dec}
}

// Encode returns the encoding of a message.
func (c Codec) Encode(msg any) ([]byte, error) {
	data, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, errors.Errorf("encode %T: %w", msg, err)
	}
	return data, nil
}

// Decode decodes and validates a message; malformed data gives ErrDecode.
func (c Codec) Decode(data []byte) (any, error) {
	var msg any
	if err := c.dec.Unmarshal(data, &msg); err != nil {
		return nil, errors.Mark(errors.Errorf("decode: %w", err), ErrDecode)
	}
	if checker, ok := msg.(Checker); ok {
		if err := checker.Check(); err != nil {
			return nil, errors.Errorf("decode %T: %w", msg, err)
		}
	}
	return msg, nil
}

// Frame encodes a message and wraps it in a frame.
func (c Codec) Frame(msg any) (*Frame, error) {
	body, err := c.Encode(msg)
	if err != nil {
		return nil, err
	}
	return &Frame{Version: Version, Body: body}, nil
}

// Unframe returns the message in a frame, or ErrVersion or ErrDecode.
func (c Codec) Unframe(f *Frame) (any, error) {
	if f.GetVersion() != Version {
		return nil, errors.Errorf("frame version %d: %w", f.GetVersion(), ErrVersion)
	}
	return c.Decode(f.GetBody())
}
