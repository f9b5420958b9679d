package trials

import (
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// patchRoute writes a patch that adds a route at a path of its own.
func (f *fleet) patchRoute(match uint64, name, path string) (int, []byte, error) {
	body := fmt.Sprintf(`{"version":%d,"put":{"routes":[{"name":"%s","host":"h.example","path":"%s","kind":"idempotent",`+
		`"timeout":"2s","service":"lookup"}]}}`, match+1, name, path)
	header := http.Header{"If-Match": {fmt.Sprint(match)}}
	return f.call(http.MethodPatch, "http://"+f.controls[0].API+"/v1/plan", header, []byte(body))
}

// TestAlteredPlan guards against an acknowledged route that is gone, since the bytes of
// another route's name are replaced so that both have one name.
func TestAlteredPlan(t *testing.T) {
	f := newJoiningFleet(t, 1, 0)
	f.controls[0].Join = []string{f.controls[0].API}
	f.startControl(0)
	f.eventually("plan", func() error { return f.checkAccepted(f.putPlan(0, platformPlan(), 0)) })
	before, err := f.plan(0)
	if err != nil {
		t.Fatal(err)
	}
	for n, name := range []string{"r-t\xe9", "r-t\xe8", `r-t\ud800`, `r-t\ud801`, "r-t\",\"name\":\"other"} {
		status, body, err := f.patchRoute(before.Version, name, fmt.Sprintf("/new%d/", n))
		if status != http.StatusBadRequest || !strings.Contains(string(body), "invalid") {
			t.Errorf("%q: status %d, %s, %v", name, status, body, err)
		}
		if after, err := f.plan(0); err != nil || !reflect.DeepEqual(after, before) {
			t.Errorf("%q: the plan is now %+v, %v", name, after, err)
		}
	}
	for n, name := range []string{"r-té", "r-tè"} {
		match := before.Version + uint64(n)
		f.eventually("patch "+name, func() error { return f.checkAccepted(f.patchRoute(match, name, fmt.Sprintf("/new%d/", n))) })
	}
	f.eventually("both routes", func() error {
		after, err := f.plan(0)
		if err != nil || len(after.Routes) != len(before.Routes)+2 {
			return errors.Newf("%d routes, %v", len(after.Routes), err)
		}
		return nil
	})
}
