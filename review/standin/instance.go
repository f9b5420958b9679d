package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerID       = "X-Damaskpitch-Request-Id"
	headerDeadline = "X-Damaskpitch-Deadline-Ms"
	headerStamp    = "X-Damaskpitch-Response-Stamp"
	headerNotRun   = "X-Damaskpitch-Not-Executed"
	headerExpect   = "X-Damaskpitch-Expect-Instance"
	headerLeaving  = "Server-Leaving"
)

// instance is a server beside a node. It runs `slots` requests at once and rejects what it
// cannot queue, checks in at its node, and ends by a crash or by leaving.
type instance struct {
	f       *fleet
	node    *machine
	id      string
	service string
	work    time.Duration // of each request
	slots   int
	// crashes reports whether a request crashes the instance that begins to run it.
	crashes func(body []byte) bool
	// back is how long the instance is down after a crash, 0 for good.
	back time.Duration

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	up       bool
	leaving  bool
	stopped  bool
	born     int64
	sequence int
	running  chan struct{}
	runs     []run
	crashAt  []time.Time
}

// run is one request that an instance began to run.
type run struct {
	at       time.Time
	id       string
	method   string
	uri      string
	instance string
	service  string
	length   int
	done     bool // the whole answer was written
}

// addInstance starts an instance beside a node.
func (f *fleet) addInstance(m *machine, work time.Duration) *instance {
	i := &instance{f: f, node: m, id: "i-" + m.name, service: m.service, work: work, slots: 5}
	f.mu.Lock()
	f.insts = append(f.insts, i)
	f.mu.Unlock()
	return i
}

func (i *instance) start() error {
	l, err := net.Listen("tcp", i.node.addr(instPort))
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return l.Close()
	}
	i.listener, i.up = l, true
	i.conns = map[net.Conn]bool{}
	i.born, i.sequence = time.Now().UnixMilli(), 0
	i.running = make(chan struct{}, i.slots)
	conns := i.conns
	i.server = &http.Server{
		Handler:     http.HandlerFunc(i.serve),
		IdleTimeout: 10 * time.Second,
		ConnState: func(c net.Conn, state http.ConnState) {
			i.mu.Lock()
			defer i.mu.Unlock()
			switch state {
			case http.StateNew:
				conns[c] = true
			case http.StateClosed:
				delete(conns, c)
			}
		},
	}
	server, born := i.server, i.born
	go func() { _ = server.Serve(l) }()
	go i.checkInLoop(born)
	i.f.rec.add("instance %s of %s starts, born %d", i.id, i.service, born)
	return nil
}

// end closes the instance's port and resets its connections.
func (i *instance) end(why string) {
	i.mu.Lock()
	if !i.up {
		i.mu.Unlock()
		return
	}
	i.up = false
	_ = i.listener.Close()
	for c := range i.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	i.mu.Unlock()
	i.f.rec.add("instance %s ends: %s", i.id, why)
}

// crash ends the instance; it starts again after `back`.
func (i *instance) crash(why string) {
	i.mu.Lock()
	up := i.up
	if up {
		i.crashAt = append(i.crashAt, time.Now())
	}
	i.mu.Unlock()
	if !up {
		return
	}
	i.end("crash: " + why)
	if i.back == 0 {
		return
	}
	time.AfterFunc(i.back, func() { _ = i.start() })
}

func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.end("end of the case")
}

// checkIn returns the next check-in of the instance's current start.
func (i *instance) checkIn(state string) []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": i.service, "addr": i.node.addr(instPort), "center": "mida", "version": "v1", "slots": i.slots,
		"state": state, "warm": "0s", "sequence": i.sequence, "born": i.born,
	})
	return body
}

func (i *instance) checkInLoop(born int64) {
	for {
		i.mu.Lock()
		current := i.up && !i.leaving && i.born == born
		i.mu.Unlock()
		if !current {
			return
		}
		_, _ = i.send(http.MethodPut, i.checkIn("ready"))
		time.Sleep(heartbeat)
	}
}

// send sends a check-in or a DELETE to the node beside the instance.
func (i *instance) send(method string, body []byte) (int, error) {
	r, err := http.NewRequest(method, "http://"+i.node.addr(controlPort)+"/v1/instances/"+i.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	response, err := checkInClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}

var checkInClient = &http.Client{Timeout: time.Second}

func (i *instance) setLeaving() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	i.mu.Lock()
	leaving, running := i.leaving, i.running
	i.mu.Unlock()
	if leaving {
		w.Header().Set(headerLeaving, "1")
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	select {
	case running <- struct{}{}:
		defer func() { <-running }()
	case <-time.After(time.Duration(deadline) * time.Millisecond / 2):
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.mu.Lock()
	at := len(i.runs)
	i.runs = append(i.runs, run{
		at: time.Now(), id: id, method: r.Method, uri: r.RequestURI, instance: i.id, service: i.service, length: len(body),
	})
	i.mu.Unlock()
	i.f.rec.add("run %s %s %s, %d bytes, at %s of %s", id, r.Method, r.RequestURI, len(body), i.id, i.service)
	if i.crashes != nil && i.crashes(body) {
		i.crash("by request " + id)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerStamp, fmt.Sprintf("%s.%d", i.id, at))
	fmt.Fprintf(w, "%s of %s ran %s", i.id, i.service, id)
	i.mu.Lock()
	i.runs[at].done = true
	i.mu.Unlock()
}

// allRuns returns what the instances began to run.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []run
	for _, i := range f.insts {
		i.mu.Lock()
		list = append(list, i.runs...)
		i.mu.Unlock()
	}
	return list
}
