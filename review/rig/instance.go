package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// instance is a sound server of the pages: it checks in, echoes the id of a request, rejects
// what another one is expected for, and signs its answers.
type instance struct {
	id      string
	service string
	born    int64
	beatURL string
	server  *http.Server
	addr    string
	record  *record

	sequence int
	stop     chan struct{}
}

func startInstance(rec *record, id, service, ip, beatURL string) (*instance, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	i := &instance{
		id: id, service: service, born: time.Now().UnixMilli(), beatURL: beatURL, addr: l.Addr().String(),
		record: rec, stop: make(chan struct{}),
	}
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve)}
	go func() { _ = i.server.Serve(l) }()
	go i.checkIn()
	return i, nil
}

func (i *instance) checkIn() {
	for {
		_, _ = i.beat("ready")
		select {
		case <-i.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends one check-in.
func (i *instance) beat(state string) (int, error) {
	i.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": i.service, "addr": i.addr, "center": "mida", "version": "v1", "slots": 5,
		"state": state, "warm": "0ms", "sequence": i.sequence, "born": i.born,
	})
	status, _, err := call(http.MethodPut, i.beatURL+"/v1/instances/"+i.id, map[string]string{"Content-Type": "application/json"}, body)
	return status, err
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Damaskpitch-Request-Id")
	w.Header().Set("X-Damaskpitch-Request-Id", id)
	w.Header().Set("X-Damaskpitch-Instance-Id", i.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get("X-Damaskpitch-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	i.record.run(i.id, id)
	w.Header().Set("X-Damaskpitch-Response-Stamp", "stamp-"+i.id)
	fmt.Fprint(w, i.id)
}

func (i *instance) close() {
	close(i.stop)
	_ = i.server.Close()
}
