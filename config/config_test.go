package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

const _controlYAML = `name: c1
center: mida
data: data/c1
api: 127.0.0.1:7100
peer: 127.0.0.1:7101
key: a-key-of-sixteen-bytes
hosts:
  - name: c1
    addr: 127.0.0.1:7101
`

// TestBadSettings checks that the error for invalid settings names the file
// and the line, field or value at fault, and guards against settings of which a part is
// replaced or ignored.
func TestBadSettings(t *testing.T) {
	cases := []struct {
		name, from, to string
		want           []string
	}{
		{"unknown field", "center: mida", "centre: mida", []string{"centre", "2"}},
		{"missing field", "name: c1\ncenter", "center", []string{"name"}},
		{"not an address", "api: 127.0.0.1:7100", "api: localhost", []string{"api", "localhost"}},
		{"host name for an IP", "peer: 127.0.0.1:7101\nkey", "peer: example.org:7101\nkey", []string{"peer", "example.org"}},
		{"short key", "a-key-of-sixteen-bytes", "short", []string{"key"}},
		{"bad label", "name: c1\ncenter", "name: C 1\ncenter", []string{"name"}},
		{"wrong type", "center: mida", "center: [mida]", []string{"2", "center"}},
		{"no hosts", "hosts:\n  - name: c1\n    addr: 127.0.0.1:7101\n", "hosts: []\n", []string{"hosts"}},
		{"data folder that cannot be created", "data: data/c1", "data: /dev/null/c1", []string{"data", "/dev/null/c1"}},
		{"not UTF-8", "data: data/c1", "data: data/\xe9", []string{"byte 33", "unicode"}},
		{"surrogate", "data: data/c1", `data: "data/\udc00"`, []string{"line 3", "unicode"}},
		{"second document", "    addr: 127.0.0.1:7101\n", "    addr: 127.0.0.1:7101\n---\nlog:\n  level: warn\n", []string{"more than one document"}},
		{"not among the hosts", "name: c1\ncenter", "name: c2\ncenter", []string{"hosts", "c2"}},
	}
	t.Chdir(t.TempDir())
	for _, c := range cases {
		text := strings.Replace(_controlYAML, c.from, c.to, 1)
		if text == _controlYAML {
			t.Fatalf("%s: nothing replaced", c.name)
		}
		var settings Control
		err := parse("control.yaml", []byte(text), &settings)
		if err == nil {
			err = settings.check("control.yaml")
		}
		if err == nil {
			t.Errorf("%s: no error", c.name)
			continue
		}
		for _, want := range append(c.want, "control.yaml") {
			if !strings.Contains(strings.ToLower(err.Error()), want) && !strings.Contains(err.Error(), want) {
				t.Errorf("%s: error does not name %q: %v", c.name, want, err)
			}
		}
	}
}

// TestSettingsPage checks that docs/SETTINGS.md lists exactly the fields of the
// settings structs.
func TestSettingsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, typ := range []reflect.Type{
		reflect.TypeFor[Control](), reflect.TypeFor[Node](), reflect.TypeFor[Host](), reflect.TypeFor[Log](),
		reflect.TypeFor[Base](), reflect.TypeFor[Retry](), reflect.TypeFor[Pipeline](), reflect.TypeFor[Heads](),
	} {
		_, section, found := strings.Cut(string(data), "## "+typ.Name()+"\n")
		if !found {
			t.Errorf("no section %s", typ.Name())
			continue
		}
		section, _, _ = strings.Cut(section, "\n## ")
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(section, "| `"+name+"` |") {
				t.Errorf("section %s lacks the field %s", typ.Name(), name)
			}
		}
		if rows := strings.Count(section, "\n| `"); rows != typ.NumField() {
			t.Errorf("section %s has %d rows, the struct %d fields", typ.Name(), rows, typ.NumField())
		}
	}
}

// FuzzSettings checks that no input makes the parser panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(_controlYAML))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c Control
		_ = parse("f", data, &c)
	})
}
