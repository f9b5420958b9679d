package node

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestAlteredReports guards against an instance that is registered under another service or
// address than was sent, since text of its report or announcement was altered or left out.
func TestAlteredReports(t *testing.T) {
	parsers := []struct {
		name, body string
		parse      func(string) error
	}{
		{"report", `{"service":"lookup","addr":"127.0.0.1:9000","slots":4,"state":"ready","warm":"0s","sequence":9}`, func(body string) error {
			_, err := ParseReport("i1", strings.NewReader(body))
			return err
		}},
		{"announcement", `{"id":"i1","service":"lookup","addr":"127.0.0.1:9000","lease":"4s"}`, func(body string) error {
			_, err := ParseAnnouncement(strings.NewReader(body))
			return err
		}},
	}
	tests := []struct{ name, from, to string }{
		{"service in Latin-1", `"lookup"`, "\"look\xe9\""},
		{"surrogate in the service", `"lookup"`, `"look\ud800"`},
		{"repeated service", `"lookup"`, `"other","service":"lookup"`},
		{"service repeated in another case", `"lookup"`, `"other","Service":"lookup"`},
		{"second document", `}`, `}{"a":1}`},
	}
	for _, p := range parsers {
		if err := p.parse(p.body); err != nil {
			t.Errorf("%s: %v", p.name, err)
		}
		for _, test := range tests {
			if err := p.parse(strings.Replace(p.body, test.from, test.to, 1)); !errors.Is(err, spec.ErrInvalid) {
				t.Errorf("%s, %s: %v", p.name, test.name, err)
			}
		}
	}
	extra := strings.Replace(parsers[0].body, `"slots"`, `"version":"v1","notes":{"a":1},"slots"`, 1)
	if err := parsers[0].parse(extra); err != nil {
		t.Errorf("unknown fields: %v", err)
	}
	if err := parsers[0].parse(strings.Replace(parsers[0].body, `"sequence":9`, "\"sequence\":9,\"note\":\"\xe9\"", 1)); err == nil {
		t.Error("a report with bytes that are not UTF-8 is accepted")
	}
}
