package strict

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

type item struct {
	Name  string `json:"name"`
	Count *int   `json:"count,omitempty"`
	Items []item `json:"items,omitempty"`
}

// TestJSON guards against a document of which a part is altered or left out without an error.
func TestJSON(t *testing.T) {
	tests := []struct {
		name, text string
		want       error
	}{
		{"empty object", `{}`, nil},
		{"white space around", " {\"name\":\"a\"}\r\n\t ", nil},
		{"UTF-8", `{"name":"é😀"}`, nil},
		{"replacement character", "{\"name\":\"\ufffd\\ufffd\"}", nil},
		{"surrogates", `{"name":"\ud83d\ude00"}`, nil},
		{"other case", `{"Name":"a"}`, nil},
		{"unknown fields", `{"x":{"a":1e999},"na-me":"b"}`, nil},
		{"the same name in two objects", `{"items":[{"name":"a"},{"name":"a"}]}`, nil},
		{"not UTF-8", "{\"name\":\"\xe9\"}", ErrEncoding},
		{"not UTF-8, unknown field", "{\"x\":[\"\xe9\"]}", ErrEncoding},
		{"not UTF-8, name", "{\"\xe9\":1}", ErrEncoding},
		{"not UTF-8 after the end", "{}\xe9", ErrEncoding},
		{"high surrogate", `{"name":"\ud800"}`, ErrEncoding},
		{"low surrogate", `{"name":"\uDC00"}`, ErrEncoding},
		{"surrogate in a name", `{"\ud800":1}`, ErrEncoding},
		{"repeated", `{"name":"a","name":"a"}`, ErrRepeated},
		{"repeated, escaped", `{"name":"a","\u006eame":"b"}`, ErrRepeated},
		{"repeated in another case", `{"name":"a","NAME":"b"}`, ErrRepeated},
		{"repeated, unknown field", `{"x":{"a":1,"a":2}}`, ErrRepeated},
		{"second value", `{} {}`, ErrMalformed},
		{"text after the end", `{"name":"a"}]`, ErrMalformed},
		{"cut", `{"name":"a"`, ErrMalformed},
		{"empty", ``, ErrMalformed},
		{"byte order mark", "\ufeff{}", ErrMalformed},
		{"invalid escape", `{"name":"\x41"}`, ErrMalformed},
	}
	for _, test := range tests {
		var got item
		if err := JSON([]byte(test.text), &got); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", test.name, err, test.want)
		}
	}
	var got item
	if err := JSONFields([]byte(`{"name":"a","extra":1}`), &got); err == nil || !strings.Contains(err.Error(), "extra") {
		t.Errorf("unknown field: %v", err)
	}
}

// TestJSONHidesText guards against an error that quotes a secret.
func TestJSONHidesText(t *testing.T) {
	for _, text := range []string{`{"name":"\ud800secret"}`, "{\"name\":\"\xe9secret\"}", `{"name":"secret`, `{"name":"\qsecret"}`, `{"name":secret}`} {
		var got item
		if err := JSON([]byte(text), &got); err == nil || strings.Contains(err.Error(), "secr") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// FuzzJSON guards against a document that is read otherwise than by encoding/json, or altered.
func FuzzJSON(f *testing.F) {
	for _, text := range []string{`{"name":"a","count":3,"items":[{"name":"b"}]}`, `{"NAME":"\ud83d\ude00"}`, "{\"name\":\"\xe9\"}", `{"na_me":1}`, `{"count":1e0}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want item
		if JSON(data, &got) != nil {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %+v, encoding/json has %+v, %v", data, got, want, err)
		}
	})
}

// TestCheckYAML guards against settings and declarations in which text is replaced.
func TestCheckYAML(t *testing.T) {
	tests := []struct {
		name, text string
		ok         bool
	}{
		{"UTF-8", "name: é # é\n", true},
		{"replacement character", "name: \"\ufffd\"\n", true},
		{"surrogates", `name: "\ud83d\ude00"`, true},
		{"escaped byte", `name: "\xe9"`, true},
		{"backslash", `name: "\\udc00"`, true},
		{"single quotes", `name: '\udc00'`, true},
		{"comment", `name: a # "\udc00"`, true},
		{"Latin-1", "name: caf\xe9\n", false},
		{"Latin-1 in a comment", "name: a # \xe9\n", false},
		{"UTF-16", "\xff\xfen\x00:\x00 \x00a\x00", false},
		{"low surrogate", `name: "\udc00"`, false},
		{"long surrogate", `name: "\U0000d800"`, false},
		{"beyond Unicode", `name: "\U00110000"`, false},
		{"key", `"na\udc00me": a`, false},
	}
	for _, test := range tests {
		err := CheckYAML([]byte(test.text))
		if errors.Is(err, ErrEncoding) == test.ok {
			t.Errorf("%s: %v", test.name, err)
		}
		var got map[string]string
		if err == nil && yaml.Unmarshal([]byte(test.text), &got) == nil && strings.Contains(got["name"], replacement) && !strings.Contains(test.text, replacement) {
			t.Errorf("%s: read as %q", test.name, got["name"])
		}
	}
}
