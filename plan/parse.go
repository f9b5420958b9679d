package plan

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/strict"
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

// decode reads a JSON document. What would be kept in another form than it was sent in is
// an error.
func decode(r io.Reader, into any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return errors.Errorf("read plan: %w", err)
	}
	if err := strict.JSON(data, into); err != nil {
		return errors.Mark(errors.Errorf("read plan: %w", err), spec.ErrInvalid)
	}
	return nil
}
