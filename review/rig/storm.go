package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// _stormMemory is the memory of a sidecar of the deployment in MB.
	_stormMemory = 184
	// _stormRoutes is two times the largest big_config of the deployment.
	_stormRoutes = 2 * 1400
	// _stormChanges is how many changes the operator makes: hundreds.
	_stormChanges = 900
	// _stormTime ends the changes early, so that the case keeps its time. _enoughChanges is
	// how many of them must have been made for a process to end three times.
	_stormTime     = 105 * time.Second
	_enoughChanges = 700
	// _stormGap is the shortest time between two changes that the site file names.
	_stormGap = 60 * time.Millisecond
)

// planText returns a configuration of many routes.
func planText(version int, timeout func(route int) int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	b.WriteString(`{"name":"r-read","host":"h.example","path":"/read/","kind":"idempotent","timeout":"8000ms","target":"2000ms","priority":1,"service":"desk","attempts":2}`)
	for n := range _stormRoutes {
		text := strconv.Itoa(n)
		b.WriteString(`,{"name":"r-` + text + `","host":"h` + strconv.Itoa(n%20) + `.example","path":"/p` + text + `/","kind":"idempotent","timeout":"` +
			strconv.Itoa(timeout(n)) + `ms","target":"2000ms","priority":1,"parts":[{"service":"desk","weight":90},{"service":"vault","weight":10}],"attempts":2}`)
	}
	b.WriteString(`],"services":[{"name":"desk","health":"/healthz","conns":330,"protocol":"h1","tls":false},{"name":"vault","health":"/healthz","conns":330,"protocol":"h1","tls":false}],"limits":{"header":16384,"body":67108864,"read":"3000ms","idle":"15000ms"}}`)
	return b.String()
}

// runStorm has the operator make hundreds of changes, one after the other. With trouble,
// each changes the time-out of every route; else that of one route.
func runStorm(rec *record, trouble bool) (int, error) {
	f, err := startServing(rec, 2, _stormMemory)
	if err != nil {
		return _notRun, err
	}
	defer f.stopAll()
	w := startWarden(f)
	version, changes := 2, 0
	for end := time.Now().Add(_stormTime); changes < _stormChanges && time.Now().Before(end) && !w.broken(); changes++ {
		began := time.Now()
		body := planText(version+2, func(route int) int {
			if trouble || route == 0 {
				return 4000 + changes
			}
			return 4000
		})
		status, answer := f.order(http.MethodPut, strconv.Itoa(version), []byte(body), 20*time.Second)
		if status != http.StatusOK {
			w.close()
			return _notRun, fmt.Errorf("change %d: status %d %s: %w", changes, status, answer, errNotReady)
		}
		version += 2
		time.Sleep(_stormGap - time.Since(began))
	}
	rec.add("%d changes of %d routes acknowledged", changes, _stormRoutes)
	if w.close() {
		return _broken, nil
	}
	if changes < _enoughChanges {
		return _notRun, errors.New("too few changes in the time of the case")
	}
	return _held, nil
}
