package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host        = "permits.example"
	timeLimit   = 8 * time.Second
	dialTimeout = time.Second
)

var lastRequest atomic.Int64

// answer is what a consumer got for one attempt; status 0 means that the connection
// ended without a whole answer.
type answer struct {
	id     string
	target string
	node   *machine
	sentAt time.Time
	status int
	stamp  string
	body   string
	err    error
}

// ask sends one request over a new connection and waits for its answer. The target is sent
// as it stands.
func (f *fleet) ask(m *machine, method, target string, body []byte) answer {
	a := answer{id: fmt.Sprintf("%016x", lastRequest.Add(1)), target: target, node: m, sentAt: time.Now()}
	a.err = a.exchange(method, body)
	text := fmt.Sprintf("%d %.60q", a.status, a.body)
	if a.err != nil {
		text = "no whole answer: " + a.err.Error()
	}
	f.rec.add("asked %s at %s: %s %s, %d bytes, %.3f s ago -> %s", a.id, m.name, method, target, len(body), time.Since(a.sentAt).Seconds(), text)
	return a
}

func (a *answer) exchange(method string, body []byte) error {
	conn, err := net.DialTimeout("tcp", a.node.addr(callerPort), dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeLimit))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, a.target, host, headerID, a.id, headerDeadline, timeLimit.Milliseconds())
	if len(body) > 0 {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	go func() { _, _ = conn.Write(append(head.Bytes(), body...)) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.status, a.stamp, a.body = response.StatusCode, response.Header.Get(headerStamp), string(text)
	return nil
}

// load sends requests at a steady rate, in turn at the given nodes, until it is stopped.
type load struct {
	stop chan struct{}
	done sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

func (f *fleet) startLoad(perSecond int, nodes []*machine, method string, target func(n int) string, body []byte) *load {
	l := &load{stop: make(chan struct{})}
	l.done.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.done.Go(func() {
				a := f.ask(nodes[n%len(nodes)], method, target(n), body)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.answers = append(l.answers, a)
			})
		}
	})
	return l
}

// end stops the load and returns its answers once all are in.
func (l *load) end() []answer {
	close(l.stop)
	l.done.Wait()
	return l.answers
}

// statuses counts answers by status.
func statuses(list []answer) map[int]int {
	counts := map[int]int{}
	for _, a := range list {
		counts[a.status]++
	}
	return counts
}
