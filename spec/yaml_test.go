package spec

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestParseAlteredText guards against a declaration that is applied with other text than its
// file has.
func TestParseAlteredText(t *testing.T) {
	const valid = "name: a\nroutes:\n  - path: /é\n"
	if services, err := Parse("a.yaml", []byte(valid)); err != nil || services[0].Routes[0].Path != "/é" {
		t.Fatalf("%+v, %v", services, err)
	}
	for _, path := range []string{"/\xe9", `"/\udc00"`, `"/\U00110000"`, "/a # \xe9"} {
		services, err := Parse("a.yaml", []byte(strings.Replace(valid, "/é", path, 1)))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), "a.yaml") {
			t.Errorf("%q: %+v, %v", path, services, err)
		}
	}
}
