package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const smallPlan = `{"version":2,"routes":[` +
	`{"name":"r-read","host":"h.example","path":"/read/","kind":"idempotent","timeout":"8000ms","target":"2000ms","priority":1,"service":"desk","attempts":2},` +
	`{"name":"r-issue","host":"h.example","path":"/issue/","kind":"once","timeout":"12000ms","target":"2000ms","priority":1,"service":"desk","attempts":2}],` +
	`"services":[{"name":"desk","health":"/healthz","conns":330,"protocol":"h1","tls":false}],` +
	`"limits":{"header":16384,"body":67108864,"read":"3000ms","idle":"15000ms"}}`

// send sends one request to a sidecar over a new connection.
func send(addr, method, path, id string, body []byte) (int, string, error) {
	r, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, "", fmt.Errorf("create a request: %w", err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Damaskpitch-Request-Id", id)
	r.Header.Set("X-Damaskpitch-Deadline-Ms", "8000")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", fmt.Errorf("send a request: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "", fmt.Errorf("read an answer: %w", err)
	}
	return response.StatusCode, string(data), nil
}

// serves returns an error unless a sidecar serves a request.
func (f *fleet) serves(n int, path, id string) error {
	status, _, err := send(f.outbound(n), http.MethodGet, path, id, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %w", status, errNotReady)
	}
	return err
}

// startServing starts a deployment whose sidecars have some memory, in MB, with one instance
// beside each sidecar, and waits until each serves.
func startServing(rec *record, sidecars int, memory int64) (*fleet, error) {
	services := make([]string, sidecars)
	for n := range services {
		services[n] = "desk"
	}
	f, err := newFleet(rec, services, memory)
	if err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		f.stopAll()
		return nil, err
	}
	return f, nil
}

func (f *fleet) begin() error {
	if err := f.startAll(); err != nil {
		return err
	}
	if status, answer := f.order(http.MethodPut, "0", []byte(smallPlan), _startTimeout); status != http.StatusOK {
		return fmt.Errorf("first configuration: status %d %s: %w", status, answer, errNotReady)
	}
	for n := range f.sidecars {
		i, err := startInstance(f.record, fmt.Sprintf("i-%d", n+1), "desk", f.sidecars[n].ip, f.beat(n))
		if err != nil {
			return err
		}
		f.instances = append(f.instances, i)
	}
	for n := range f.sidecars {
		if err := eventually(_startTimeout, func() error { return f.serves(n, "/read/1", "start") }); err != nil {
			return err
		}
	}
	return nil
}
