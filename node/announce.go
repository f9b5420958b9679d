package node

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ParseAnnouncement decodes and validates an announcement.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		return a, errors.Errorf("announcement: %w", err)
	}
	return a, a.Check()
}
