package node

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/strict"
)

// ParseAnnouncement decodes and validates an announcement.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	data, err := io.ReadAll(r)
	if err == nil {
		err = strict.JSONFields(data, &a)
	}
	if err != nil {
		return a, errors.Mark(errors.Errorf("announcement: %w", err), spec.ErrInvalid)
	}
	return a, a.Check()
}
