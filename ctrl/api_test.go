package ctrl

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/damaskpitch/damaskpitch/config"
)

// newAPI returns the API of a control host that is not ready, so that it refuses each valid
// write with 503.
func newAPI(t *testing.T) http.Handler {
	t.Helper()
	const addr = "127.0.0.1:1"
	s, err := New(t.Context(), Config{Logger: slog.New(slog.DiscardHandler), Settings: config.Control{
		Name: "c1", Center: "mida", Data: t.TempDir(), API: addr, Peer: addr, Key: "a-key-for-a-test",
		Hosts: []config.Host{{Name: "c1", Addr: addr}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.disk.Close() })
	return s.apiHandler()
}

// TestWritesOfAlteredText guards against a write that is accepted although its text would be
// altered, or a part of it left out.
func TestWritesOfAlteredText(t *testing.T) {
	api := newAPI(t)
	const (
		route   = `{"name":"r@","host":"h","path":"/a/","kind":"once","timeout":"4s","service":"s"}`
		service = `{"name":"s","health":"/h"}`
	)
	calls := []struct{ method, path, body string }{
		{http.MethodPut, "/v1/plan", `{"version":1,"routes":[` + route + `],"services":[` + service + `]}`},
		{http.MethodPatch, "/v1/plan", `{"version":2,"put":{"routes":[` + route + `]}}`},
		{http.MethodPatch, "/v1/plan", `{"version":2,"drop":{"routes":["@"]}}`},
		{http.MethodPut, "/v1/services/a", `{"name":"a","routes":[{"path":"/r@"}]}`},
	}
	texts := []struct {
		name, text, after string
		want              int
	}{
		{"UTF-8", "é", "", http.StatusServiceUnavailable},
		{"Latin-1", "\xe9", "", http.StatusBadRequest},
		{"surrogate", `\ud800`, "", http.StatusBadRequest},
		{"text after the end", "", "{}", http.StatusBadRequest},
		{"bytes after the end", "", "\xe9", http.StatusBadRequest},
	}
	for _, call := range calls {
		for _, text := range texts {
			body := strings.ReplaceAll(call.body, "@", text.text) + text.after
			r := httptest.NewRequest(call.method, call.path, strings.NewReader(body))
			r.Header.Set("If-Match", "0")
			w := httptest.NewRecorder()
			api.ServeHTTP(w, r)
			if w.Code != text.want {
				t.Errorf("%s %s, %s: status %d, want %d: %s", call.method, call.path, text.name, w.Code, text.want, w.Body)
			}
		}
	}
}
