package node

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/view"
)

// reportTo sends an instance's report to a node and returns the status.
func reportTo(s *Server, id, body string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPut, "/v1/instances/"+url.PathEscape(id), strings.NewReader(body))
	s.localHandler().ServeHTTP(w, r)
	return w.Code
}

// TestOddReports guards against a report of another writer that takes the place of a sound
// instance, keeps its later reports out, or registers what no request can be sent to.
func TestOddReports(t *testing.T) {
	const sound = `{"service":"lookup","addr":"127.0.0.1:9000","slots":4,"state":"ready","warm":"0s","born":%d,"sequence":%d}`
	with := func(changes ...string) string {
		body := fmt.Sprintf(sound, 5, 9)
		return strings.NewReplacer(changes...).Replace(body)
	}
	nested := strings.Repeat(`{"a":`, 600) + "1" + strings.Repeat("}", 600)
	future := time.Now().Add(24 * time.Hour).UnixMilli()
	tests := []struct{ name, id, body string }{
		{"deeply nested", "odd", nested},
		{"deeply nested field", "odd", with(`"lookup"`, strings.Repeat("[", 1500)+strings.Repeat("]", 1500))},
		{"slots too large", "odd", with(`"slots":4`, `"slots":1e300`)},
		{"sequence too large", "odd", with(`"sequence":9`, `"sequence":99999999999999999999`)},
		{"sequence at the limit", "i1", with(`"sequence":9`, `"sequence":9223372036854775807`)},
		{"born too large", "odd", with(`"born":5`, `"born":99999999999999999999`)},
		{"born at the limit", "i1", with(`"born":5`, `"born":9223372036854775807`)},
		{"born at the limit, another ID", "odd", with(`"born":5`, `"born":9223372036854775807`)},
		{"born tomorrow", "odd", with(`"born":5`, fmt.Sprintf(`"born":%d`, future))},
		{"born a fraction", "odd", with(`"born":5`, `"born":5.5`)},
		{"born before all time", "odd", with(`"born":5`, `"born":-5`)},
		{"port out of range", "odd", with("9000", "90000")},
		{"port 0", "odd", with("9000", "0")},
		{"no address", "odd", with("127.0.0.1:9000", "")},
		{"address of every host", "odd", with("127.0.0.1", "0.0.0.0")},
		{"a control character in the ID", "odd\n1", with()},
		{"a control character in the service", "odd", with("lookup", `look\nup`)},
		{"another state", "odd", with(`"ready"`, `"unsure"`)},
		{"no sequence", "odd", with(`,"sequence":9`, "")},
		{"null", "odd", "null"},
		{"a list", "odd", "[]"},
		{"no JSON", "odd", "\x00\xff{"},
		{"too long", "odd", with(`"lookup"`, `"`+strings.Repeat("x", _maxAnnouncement)+`"`)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Settings: config.Node{Name: "n1", Center: "mida", Control: []string{"127.0.0.1:1"}}, Logger: slog.New(slog.DiscardHandler)})
			born := time.Now().UnixMilli()
			if status := reportTo(s, "i1", fmt.Sprintf(sound, born, 1)); status != http.StatusOK {
				t.Fatalf("sound report: status %d", status)
			}
			if status := reportTo(s, test.id, test.body); status != http.StatusBadRequest {
				t.Errorf("odd report: status %d", status)
			}
			if status := reportTo(s, "i1", fmt.Sprintf(sound, born, 2)); status != http.StatusOK {
				t.Errorf("next sound report: status %d", status)
			}
			list, _ := s.instances()
			want := view.Instance{ID: "i1", Service: "lookup", Addr: "127.0.0.1:9000", Born: born, Slots: 4}
			if len(list) != 1 || list[0] != want {
				t.Errorf("instances %+v, want only %+v", list, want)
			}
			if last := s.lastReports["i1"]; last.sequence != 2 {
				t.Errorf("the last report of the sound instance is %+v", last)
			}
		})
	}
}
