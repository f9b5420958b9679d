package plan

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
)

const _validPlan = `{"version":3,"routes":[
 {"name":"a","host":"h.example","path":"/a/","kind":"idempotent","timeout":"4s","target":"1s","priority":1,"service":"one","attempts":2},
 {"name":"b","host":"h.example","path":"/b/","kind":"once","timeout":"6s","priority":0,"parts":[{"service":"one","weight":90},{"service":"two","weight":10}]}],
 "services":[{"name":"one","health":"/healthz","conns":300,"protocol":"h1","tls":false},{"name":"two","health":"/healthz","conns":300,"protocol":"h1","tls":false}],
 "limits":{"header":16384,"body":1048576,"read":"3s","idle":"15s"}}`

// TestParseInvalid checks that the error for an invalid plan names the invalid field.
func TestParseInvalid(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"truncated", `"limits"`, "", "read plan"},
		{"two values", `"idle":"15s"}}`, `"idle":"15s"}} {}`, "read plan"},
		{"unknown service", `"service":"one"`, `"service":"none"`, "routes[a].service"},
		{"unknown service of a part", `"service":"two","weight"`, `"service":"none","weight"`, "routes[b].service"},
		{"no weight", `"weight":90},{"service":"two","weight":10`, `"weight":0},{"service":"two","weight":0`, "routes[b].parts"},
		{"negative weight", `"weight":90`, `"weight":-1`, "routes[b].parts"},
		{"no timeout", `"timeout":"4s"`, `"timeout":"0s"`, "routes[a].timeout"},
		{"timeout too long", `"timeout":"4s"`, `"timeout":"601s"`, "routes[a].timeout"},
		{"path without a slash", `"path":"/a/"`, `"path":"a/"`, "routes[a].path"},
		{"same host and path", `"path":"/b/"`, `"path":"/a/"`, "path"},
		{"same name", `"name":"b"`, `"name":"a"`, "path"},
		{"no version", `"version":3`, `"version":0`, "Plan.version"},
		{"wrong type", `"priority":1`, `"priority":"high"`, "priority"},
		{"unknown kind", `"kind":"once"`, `"kind":"twice"`, "routes[b].kind"},
		{"duplicate service", `{"name":"two"`, `{"name":"one"`, "Plan.services"},
		{"negative limit", `"header":16384`, `"header":-1`, "Plan.limits"},
	}
	if _, err := Parse(strings.NewReader(_validPlan)); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		text := strings.Replace(_validPlan, c.from, c.to, 1)
		if text == _validPlan {
			t.Fatalf("%s: nothing replaced", c.name)
		}
		_, err := Parse(strings.NewReader(text))
		if !errors.Is(err, spec.ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v does not name %s", c.name, err, c.want)
		}
	}
}

// TestKinds checks which kinds a plan may name, and which of them run at most once.
func TestKinds(t *testing.T) {
	cases := []struct {
		kind Kind
		once bool
	}{{Idempotent, false}, {Bulk, false}, {Once, true}, {Upload, true}}
	for _, c := range cases {
		text := strings.Replace(_validPlan, `"kind":"once"`, `"kind":"`+string(c.kind)+`"`, 1)
		p, err := Parse(strings.NewReader(text))
		if err != nil {
			t.Errorf("%s: %v", c.kind, err)
			continue
		}
		if got := p.Routes[1].Kind; got != c.kind || got.Once() != c.once {
			t.Errorf("kind %s, once %t; want %s, %t", got, got.Once(), c.kind, c.once)
		}
	}
}

// TestDiff checks that applying the diff of two plans to the first gives the second.
func TestDiff(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	from := Plan{}
	for version := uint64(1); version <= 200; version++ {
		to := randomPlan(rng, version)
		got, err := from.ApplyChecked(Diff(from, to))
		if err != nil {
			t.Fatalf("version %d: %v", version, err)
		}
		if !reflect.DeepEqual(got, to) {
			t.Fatalf("version %d:\n got %+v\nwant %+v", version, got, to)
		}
		if _, err := to.ApplyChecked(Diff(from, to)); err == nil {
			t.Fatalf("version %d accepts a patch to its own version", version)
		}
		from = to
	}
}

func randomPlan(rng *rand.Rand, version uint64) Plan {
	p := Plan{Version: version, Limits: Limits{Header: int64(rng.IntN(3))}, Routes: []Route{}}
	for _, name := range []string{"one", "two"} {
		p.Services = append(p.Services, Service{Name: name, Conns: rng.IntN(3)})
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if rng.IntN(3) == 0 {
			continue
		}
		r := Route{Name: name, Host: "h", Path: "/" + name + "/", Kind: Once, Timeout: spec.Duration(time.Second), Priority: rng.IntN(2)}
		r.Service = "one"
		if rng.IntN(2) == 0 {
			r.Service = ""
			r.Parts = []Part{{Service: "one", Weight: float64(1 + rng.IntN(3))}, {Service: "two", Weight: 1}}
		}
		p.Routes = append(p.Routes, r)
	}
	return p
}

// TestPick checks that requests are divided in proportion to the weights.
func TestPick(t *testing.T) {
	r := Route{Parts: []Part{{Service: "one", Weight: 90}, {Service: "none", Weight: 0}, {Service: "two", Weight: 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.Pick(float64(i)/1000)]++
	}
	if got["one"] != 900 || got["two"] != 100 {
		t.Errorf("%v", got)
	}
}

// FuzzParse checks that arbitrary input neither panics nor yields an invalid plan.
func FuzzParse(f *testing.F) {
	f.Add([]byte(_validPlan))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Parse(strings.NewReader(string(data)))
		if err != nil {
			return
		}
		for _, r := range p.Routes {
			if r.Timeout <= 0 || r.Pick(0.5) == "" {
				t.Fatalf("accepted %+v", r)
			}
		}
	})
}
