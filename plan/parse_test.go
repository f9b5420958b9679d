package plan

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
)

// TestAlteredText guards against a plan or patch that is accepted with another text than was
// sent, or with a part of it left out.
func TestAlteredText(t *testing.T) {
	tests := []struct{ name, from, to string }{
		{"name in Latin-1", `"name":"a"`, "\"name\":\"a\xe9\""},
		{"host in Latin-1", `"h.example"`, "\"h\xe9.example\""},
		{"path in Latin-1", `"/a/"`, "\"/a\xe9/\""},
		{"overlong encoding", `"/a/"`, "\"/a\xc0\xaf/\""},
		{"half a character", `"/a/"`, "\"/a\xc3/\""},
		{"encoded surrogate", `"/a/"`, "\"/a\xed\xa0\x80/\""},
		{"service in Latin-1", `"one"`, "\"on\xe9\""},
		{"kind in Latin-1", `"once"`, "\"onc\xe9\""},
		{"unknown field in Latin-1", `"priority":1`, "\"priority\":1,\"note\":\"\xe9\""},
		{"field name in Latin-1", `"priority":1`, "\"priority\":1,\"not\xe9\":1"},
		{"high surrogate alone", `"name":"a"`, `"name":"a\ud800"`},
		{"low surrogate alone", `"name":"a"`, `"name":"a\udc00"`},
		{"two high surrogates", `"name":"a"`, `"name":"a\ud800\ud800"`},
		{"repeated field", `"timeout":"4s"`, `"timeout":"9s","timeout":"4s"`},
		{"repeated list", `"routes":[`, `"routes":[],"routes":[`},
		{"field repeated in another case", `"timeout":"4s"`, `"Timeout":"9s","timeout":"4s"`},
		{"repeated unknown field", `"priority":1`, `"priority":1,"note":1,"note":2`},
		{"text after the end", "", "x"},
		{"second document", "", "{}"},
		{"NUL after the end", "", "\x00"},
	}
	patch := strings.Replace(strings.Replace(_validPlan, `"routes"`, `"put":{"routes"`, 1), `],
 "limits"`, `]},
 "limits"`, 1)
	parsers := []struct {
		name, text string
		parse      func(string) error
	}{
		{"plan", _validPlan, func(text string) error { _, err := Parse(strings.NewReader(text)); return err }},
		{"patch", patch, func(text string) error { _, err := ParsePatch(strings.NewReader(text)); return err }},
	}
	for _, p := range parsers {
		if err := p.parse(p.text); err != nil {
			t.Fatalf("%s: %v", p.name, err)
		}
		for _, test := range tests {
			text := strings.ReplaceAll(p.text, test.from, test.to)
			if test.from == "" {
				text = p.text + test.to
			}
			if err := p.parse(text); !errors.Is(err, spec.ErrInvalid) || !strings.Contains(err.Error(), "read plan") {
				t.Errorf("%s, %s: %v", p.name, test.name, err)
			}
		}
	}
	for _, text := range []string{"{\"version\":4,\"drop\":{\"routes\":[\"\xe9\"]}}", `{"version":4,"drop":{"routes":["\ud800"]}}`} {
		if _, err := ParsePatch(strings.NewReader(text)); !errors.Is(err, spec.ErrInvalid) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestUnalteredText guards against valid text that a stricter reader would reject or change.
func TestUnalteredText(t *testing.T) {
	tests := []struct{ name, sent, want string }{
		{"UTF-8", "é", "é"},
		{"escaped", `\u00e9`, "é"},
		{"two surrogates", `\ud83d\ude00`, "😀"},
		{"replacement character", "\ufffd", "\ufffd"},
		{"escaped replacement character", `\ufffd`, "\ufffd"},
		{"decomposed", "e\u0301", "e\u0301"},
		{"slash", `\/`, "/"},
	}
	for _, test := range tests {
		p, err := Parse(strings.NewReader(strings.Replace(_validPlan, `"name":"a"`, `"name":"a`+test.sent+`"`, 1)))
		if err != nil || p.Routes[0].Name != "a"+test.want {
			t.Errorf("%s: %+v, %v", test.name, p.Routes, err)
		}
	}
	accepted := []struct{ name, from, to string }{
		{"unknown field", `"priority":1`, `"priority":1,"note":{"a":[1e999,null]}`},
		{"field in another case", `"timeout":"4s"`, `"Timeout":"4s"`},
		{"null", `"target":"1s"`, `"target":null`},
		{"white space at the end", `"15s"}}`, "\"15s\"}} \r\n\t"},
	}
	for _, test := range accepted {
		p, err := Parse(strings.NewReader(strings.Replace(_validPlan, test.from, test.to, 1)))
		if err != nil || p.Routes[0].Timeout.String() != "4s" || p.Routes[0].Priority != 1 {
			t.Errorf("%s: %+v, %v", test.name, p.Routes, err)
		}
	}
}
