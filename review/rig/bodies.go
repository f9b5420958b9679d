package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _bodyMemory is the memory of a sidecar of the deployment in MB.
	_bodyMemory = 184
	// _crowd is how many requests come at once to a sidecar, each on a connection of its
	// own: under half of the sockets that a process may have, 4,100 less 200.
	_crowd = 1800
	// _bodySize is far below the limit of the configuration, 64 MiB.
	_bodySize = 60 << 10
	// _few is how many come at once without trouble.
	_few = 4
	// _crowdTime is how long a crowd waits for its answers.
	_crowdTime = 8 * time.Second
)

// crowd sends many requests to a sidecar, some at once, and returns how many were answered.
func (f *fleet) crowd(n, round, atOnce int) (answered, cut int64) {
	var answers, cuts atomic.Int64
	var wg sync.WaitGroup
	body := make([]byte, _bodySize)
	running := make(chan struct{}, atOnce)
	for c := range _crowd {
		running <- struct{}{}
		wg.Go(func() {
			defer func() { <-running }()
			conn, err := net.Dial("tcp", f.outbound(n))
			if err != nil {
				cuts.Add(1)
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(_crowdTime))
			fmt.Fprintf(conn, "POST /issue/1 HTTP/1.1\r\nHost: h.example\r\nX-Damaskpitch-Request-Id: b-%d-%d-%d\r\nX-Damaskpitch-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
				n, round, c, _crowdTime.Milliseconds(), len(body))
			_, _ = conn.Write(body)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				cuts.Add(1)
				return
			}
			answers.Add(1)
			_ = response.Body.Close()
		})
	}
	wg.Wait()
	return answers.Load(), cuts.Load()
}

// runBodies sends crowds of requests with bodies of legal size to two sidecars. Without
// trouble the same requests come a few at a time.
func runBodies(rec *record, trouble bool) (int, error) {
	f, err := startServing(rec, 2, _bodyMemory)
	if err != nil {
		return _notRun, err
	}
	defer f.stopAll()
	atOnce := _few
	if trouble {
		atOnce = _crowd
	}
	w := startWarden(f)
	for round := range _maxEnds {
		for n, p := range f.sidecars {
			answered, cut := f.crowd(n, round, atOnce)
			rec.add("crowd %d to %s: %d requests of %d bytes, %d at once, %d answered, %d ended without an answer", round+1, p.name, _crowd, _bodySize, atOnce, answered, cut)
			if err := eventually(_startTimeout, func() error { return f.serves(n, "/read/1", "after") }); err != nil {
				w.close()
				return _notRun, errors.Join(errors.New(p.name+" doesn't serve again"), err)
			}
		}
	}
	if w.close() {
		return _broken, nil
	}
	return _held, nil
}
