package plan

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
)

// Parse reads a whole plan as JSON and validates it.
func Parse(r io.Reader) (Plan, error) {
	var p Plan
	if err := decode(r, &p); err != nil {
		return p, err
	}
	return p, p.Check()
}

// ParsePatch reads a patch as JSON. It does not validate the patch, which needs the
// plan that it applies to.
func ParsePatch(r io.Reader) (Patch, error) {
	var patch Patch
	err := decode(r, &patch)
	return patch, err
}

// decode reads one JSON value and rejects trailing data.
func decode(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	if err := decoder.Decode(into); err != nil {
		return errors.Mark(errors.Errorf("read plan: %w", err), spec.ErrInvalid)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Mark(errors.New("read plan: more than one JSON value"), spec.ErrInvalid)
	}
	return nil
}
