package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// _applyTime is the deployment's config_apply_s, and a little.
const _applyTime = 2500 * time.Millisecond

// addRoute orders a route for a path whose name has a letter in some encoding.
func (f *fleet) addRoute(match string, version int, path string, letter []byte) (int, []byte) {
	body := fmt.Sprintf(`{"version":%d,"put":{"routes":[{"name":"r-t@","host":"h.example","path":"/%s/","kind":"idempotent","timeout":"8000ms","target":"2000ms","priority":1,"service":"desk","attempts":2}]}}`, version, path)
	text := bytes.ReplaceAll([]byte(body), []byte("@"), letter)
	f.record.add("change sent: %q", text)
	return f.order(http.MethodPatch, match, text, 10*time.Second)
}

// runText adds two routes whose names differ in one letter. With trouble, the letters are in
// Latin-1, which is not UTF-8 and so no JSON; else in UTF-8.
func runText(rec *record, trouble bool) (int, error) {
	f, err := startServing(rec, 2, 284)
	if err != nil {
		return _notRun, err
	}
	defer f.stopAll()
	letters := [][]byte{[]byte("é"), []byte("è")}
	if trouble {
		letters = [][]byte{{0xe9}, {0xe8}}
	}
	version, acknowledged := 2, 0
	for n, letter := range letters {
		status, answer := f.addRoute(fmt.Sprint(version), version+2, fmt.Sprintf("new%d", n+1), letter)
		switch {
		case status == http.StatusOK:
			acknowledged++
			version += 2
		case status < 400 || status >= 500:
			return _notRun, fmt.Errorf("status %d %s: %w", status, answer, errNotReady)
		}
	}
	time.Sleep(_applyTime)
	gone := f.checkRoutes(acknowledged)
	rec.add("%d changes were acknowledged, %d of their routes are gone", acknowledged, gone)
	switch {
	case trouble && acknowledged == 0:
		return _held, nil
	case trouble:
		fmt.Fprintln(os.Stderr, "rule broken: a configuration that can't be read in full was acknowledged")
		return _broken, nil
	case acknowledged < len(letters) || gone > 0:
		return _broken, nil
	}
	return _held, nil
}

// checkRoutes reads the configuration back and sends a request for each route that was
// acknowledged. It returns how many of the routes are not there.
func (f *fleet) checkRoutes(routes int) int {
	status, read, err := call(http.MethodGet, f.api(1)+"/v1/plan", nil, nil)
	f.record.add("configuration read back: status %d, %v, %q", status, err, read)
	gone := 0
	for n := range routes {
		path := fmt.Sprintf("/new%d/", n+1)
		status, answer, err := send(f.outbound(0), http.MethodGet, path, "check", nil)
		f.record.add("request for %s: status %d, %.60q, %v", path, status, strings.TrimSpace(answer), err)
		if status == http.StatusNotFound {
			gone++
		}
	}
	return gone
}
