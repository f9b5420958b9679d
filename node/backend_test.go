package node

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestBackendConnReuse checks that a connection to a backend server is reused only
// for requests that may be repeated, and only if responses carry the request ID.
func TestBackendConnReuse(t *testing.T) {
	cases := []struct {
		name string
		echo bool
		once bool
		want int64
	}{
		{"repeatable request", true, false, 1},
		{"request must run once", true, true, 5},
		{"responses without request ID", false, false, 5},
	}
	for _, c := range cases {
		var conns atomic.Int64
		backend := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
		}))
		backend.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns.Add(1)
			}
		}
		backend.Start()
		s := &Server{headers: Headers{EchoesRequestID: c.echo}}
		b := s.newBackend(view.Instance{ID: "i", Addr: strings.TrimPrefix(backend.URL, "http://")}, spec.Quick, gate.Limits{Slots: 2})
		for range 5 {
			r := httptest.NewRequest(http.MethodGet, backend.URL, http.NoBody)
			response, err := b.transport(c.once).RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		backend.Close()
		if got := conns.Load(); got != c.want {
			t.Errorf("%s: %d connections, want %d", c.name, got, c.want)
		}
	}
}
