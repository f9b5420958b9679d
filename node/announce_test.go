package node

import (
	"bytes"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/drain"
	"github.com/damaskpitch/damaskpitch/spec"
)

// TestBadAnnouncements checks that the error for an invalid announcement names the
// field at fault.
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
		t.Errorf("%v is not spec.ErrInvalid", err)
	}
}

// FuzzAnnouncement checks that the parser neither panics nor accepts a field out
// of range.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"a","service":"s","addr":"127.0.0.1:1","lease":"5s"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseAnnouncement(bytes.NewReader(data))
		if err == nil && (a.ID == "" || a.Lease < 0) {
			t.Fatalf("accepted %+v", a)
		}
	})
}

// TestRejectAfterHandover checks that requests of instances are rejected after a
// handover, since the successor would not learn of them. Without a successor that
// listens they are accepted again after _handoverTimeout.
func TestRejectAfterHandover(t *testing.T) {
	s := New(Config{Settings: config.Node{Name: "n1", Center: "mida", Control: []string{"127.0.0.1:1"}}, Logger: slog.New(slog.DiscardHandler)})
	local := s.localHandler()
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		local.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code
	}
	const announcement = `{"id":"a","service":"s","addr":"127.0.0.1:1","lease":"5s"}`
	cases := []struct {
		name     string
		handover time.Duration // time since the handover; 0 if there was none
		stopping bool
		want     int
	}{
		{"no successor", 0, false, http.StatusNoContent},
		{"stopping without a successor", 0, true, http.StatusNoContent},
		{"a successor takes over", time.Second, false, http.StatusServiceUnavailable},
		{"a successor has taken over", time.Minute, true, http.StatusServiceUnavailable},
		{"the successor never started listening", time.Minute, false, http.StatusNoContent},
	}
	s.start = s.start.Add(-time.Hour)
	for _, c := range cases {
		s.handoverAt.Store(0)
		stop := drain.New(drain.Config{Timeout: time.Minute})
		if c.stopping {
			stop = stop.Update(drain.StopMsg{At: s.now()})
		}
		s.stop.Store(&stop)
		if c.handover > 0 {
			s.handoverAt.Store(int64(s.now() - c.handover))
		}
		if got := post("/v1/announce", announcement); got != c.want {
			t.Errorf("%s: announcement gets status %d", c.name, got)
		}
		if got := post("/v1/leave/a", ""); got != c.want {
			t.Errorf("%s: leave gets status %d", c.name, got)
		}
	}
}
