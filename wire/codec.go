package wire

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the version of the format of every frame and file.
	Version = 1

	_firstTag    = 60000
	_maxElements = 1 << 22
)

var (
	// ErrVersion reports a frame of a version that this build does not read.
	ErrVersion = errors.New("unknown frame version")
	// ErrDecode reports bytes that are no known message.
	ErrDecode = errors.New("malformed message")
)

// Checker is a message that checks its own fields once decoded.
type Checker interface {
	Check() error
}

// Codec turns a closed set of message types into bytes and back.
type Codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// NewCodec returns a codec for the given types; their order is their number
// in the format, so new types are added at the end.
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

// Encode returns the bytes of one message.
func (c Codec) Encode(msg any) ([]byte, error) {
	data, err := c.enc.Marshal(msg)
	if err != nil {
		return nil, errors.Errorf("encode %T: %w", msg, err)
	}
	return data, nil
}

// Decode returns the message in the bytes, checked, or ErrDecode.
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

// Frame wraps one encoded message for the network.
func (c Codec) Frame(msg any) (*Frame, error) {
	body, err := c.Encode(msg)
	if err != nil {
		return nil, err
	}
	return &Frame{Version: Version, Body: body}, nil
}

// Open returns the message in a frame, or ErrVersion or ErrDecode.
func (c Codec) Open(f *Frame) (any, error) {
	if f.GetVersion() != Version {
		return nil, errors.Errorf("frame version %d: %w", f.GetVersion(), ErrVersion)
	}
	return c.Decode(f.GetBody())
}
