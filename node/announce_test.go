package node

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestBadAnnouncements wants a clear error for each.
func TestBadAnnouncements(t *testing.T) {
	cases := []struct{ body, want string }{
		{`{"service":"lookup","addr":"127.0.0.1:1"}`, "Instance.id"},
		{`{"id":"a","addr":"127.0.0.1:1"}`, "Instance.service"},
		{`{"id":"a","service":"s","addr":"localhost:1"}`, "Instance.addr"},
		{`{"id":"a","service":"s","addr":"127.0.0.1:1","lease":"20m"}`, "Announcement.lease"},
		{`{"id":"a","service":"s","addr":"127.0.0.1:1","lease":"5"}`, "unit"},
		{`{"id":"a","service":"s","addr":"127.0.0.1:1","extra":1}`, "extra"},
		{`nothing`, "announcement"},
	}
	for _, c := range cases {
		_, err := ParseAnnouncement(strings.NewReader(c.body))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v does not name %s", c.body, err, c.want)
		}
	}
	_, err := ParseAnnouncement(strings.NewReader(cases[0].body))
	if !errors.Is(err, spec.ErrInvalid) {
		t.Errorf("%v is no spec.ErrInvalid", err)
	}
}

// FuzzAnnouncement looks for an announcement that breaks the parser or passes
// with a field out of range.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"a","service":"s","addr":"127.0.0.1:1","lease":"5s"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseAnnouncement(bytes.NewReader(data))
		if err == nil && (a.ID == "" || a.Lease < 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}
