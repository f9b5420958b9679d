package spec

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDuration reports a duration without a unit or out of syntax.
var ErrDuration = errors.New("want a duration with a unit, such as 250ms, 3s or 1h")

// Duration is a span of time that is written with its unit, such as 250ms.
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a duration with its unit, or returns ErrDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q: %w", text, ErrDuration)
	}
	*d = Duration(span)
	return nil
}
