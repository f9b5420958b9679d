package spec

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrDuration reports a malformed duration or one without a unit.
var ErrDuration = errors.New("want a duration with a unit, such as 250ms, 3s or 1h")

// Duration is a time.Duration whose text form has a unit, such as 250ms.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats the duration with its unit.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration with its unit, or returns ErrDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q: %w", text, ErrDuration)
	}
	*d = Duration(parsed)
	return nil
}
