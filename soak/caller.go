package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/node"
)

const (
	_callersPerNode  = 3
	_requestInterval = 10 * time.Millisecond
	_requestTimeout  = 5 * time.Second
)

// outcome is what a caller observed of one request.
type outcome struct {
	mark     string // key by which backend servers count runs; set if the request must run at most once
	status   int
	reported string // value of the outcome header: whether the request ran
	body     []byte
	err      error
}

// callers send requests to every node over persistent connections and check the
// responses.
type callers struct {
	fleet  *fleet
	faults *faultTracker
	errorf func(string, ...any)
	wg     sync.WaitGroup
	done   chan struct{}
	tally  tally

	mu         sync.Mutex
	notRun     []string // marks of requests reported as not run
	unanswered []string // marks of requests that got no response while no fault was active
}

// tally counts requests by result.
type tally struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

func (c *callers) start() {
	for n := range c.fleet.nodes {
		for k := range _callersPerNode {
			c.wg.Go(func() { c.run(n, k) })
		}
	}
}

func (c *callers) stop() {
	close(c.done)
	c.wg.Wait()
}

// run sends requests one after another as caller k of node n.
func (c *callers) run(n, k int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: _requestTimeout}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(c.fleet.cfg.Seed, uint64(100+n*_callersPerNode+k)))
	for seq := 0; ; seq++ {
		select {
		case <-c.done:
			return
		case <-time.After(_requestInterval):
		}
		id := fmt.Sprintf("%d-%d-%d", n, k, seq)
		began := time.Now()
		var out outcome
		switch kind := rng.IntN(8); {
		case kind < 2:
			out = c.renew(client, n, id)
		case kind == 2 && c.fleet.cfg.Losses == 0: // no claim groups without a list of hosts
			out = c.renewWithKey(client, n, id)
		case kind == 3:
			out = c.download(client, n, id)
		default:
			out = c.lookup(client, n, id)
		}
		c.record(n, id, began, out)
	}
}

func (c *callers) send(client *http.Client, n int, method, path string, header http.Header) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), _requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.nodes[n].Caller+path, nil)
	if err != nil {
		return outcome{err: err}
	}
	r.Header = header
	response, err := client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, reported: response.Header.Get(node.HeaderOutcome), body: body, err: err}
}

// lookup sends an idempotent request, and checks that a successful response is
// complete and belongs to it.
func (c *callers) lookup(client *http.Client, n int, id string) outcome {
	path := "/check/" + id
	out := c.send(client, n, http.MethodGet, path, http.Header{node.HeaderRequestID: {id}})
	c.checkEcho(id, path, out)
	return out
}

func (c *callers) checkEcho(id, path string, out outcome) {
	if out.err != nil || out.status != http.StatusOK {
		return
	}
	var answer fake.Response
	if err := json.Unmarshal(out.body, &answer); err != nil || answer.Path != path || answer.Request != id {
		c.errorf("request %s got a damaged response or one to another request: %q: %v", id, out.body, err)
	}
}

// download requests a large response and checks its body.
func (c *callers) download(client *http.Client, n int, id string) outcome {
	path := "/blob/" + id
	out := c.send(client, n, http.MethodGet, path, http.Header{node.HeaderRequestID: {id}})
	if out.err == nil && out.status == http.StatusOK && !bytes.Equal(out.body, fake.Blob(path)) {
		c.errorf("download %s got an unexpected body of %d bytes", id, len(out.body))
	}
	return out
}

// renew sends a request that must run at most once.
func (c *callers) renew(client *http.Client, n int, id string) outcome {
	out := c.send(client, n, http.MethodPost, "/renew/"+id, http.Header{node.HeaderRequestID: {id}, "Mark": {id}})
	out.mark = id
	c.checkEcho(id, "/renew/"+id, out)
	return out
}

// renewWithKey sends a request like renew, with an idempotency key. If the first
// attempt does not succeed, the request is repeated at each of the next two nodes.
func (c *callers) renewWithKey(client *http.Client, n int, id string) outcome {
	header := http.Header{node.HeaderRequestID: {id}, node.HeaderIdempotencyKey: {"k" + id}, "Mark": {id}}
	out := c.send(client, n, http.MethodPost, "/renew/"+id, header)
	for attempt := 1; attempt < 3 && (out.err != nil || out.status != http.StatusOK); attempt++ {
		time.Sleep(10 * _requestInterval)
		c.send(client, (n+attempt)%len(c.fleet.nodes), http.MethodPost, "/renew/"+id, header)
	}
	// The reported outcome is left out: the first response may say that the request
	// did not run, but a repeat may have run since.
	return outcome{status: out.status, err: out.err, mark: id, body: out.body}
}

// record counts a result, and reports a failure that is not explained by a fault
// active since _recoveryTime before the request began, or by a node that is down.
func (c *callers) record(n int, id string, began time.Time, out outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := out.err == nil && out.status == http.StatusOK
	switch {
	case served:
		c.tally.Served++
	case out.err == nil && out.status == http.StatusServiceUnavailable:
		c.tally.Refused++
	default:
		c.tally.Failed++
	}
	if out.mark != "" && out.reported == "not-run" {
		c.notRun = append(c.notRun, out.mark)
	}
	if served || !c.faults.noneSince(began.Add(-_recoveryTime)) || connectionRefused(out.err) {
		return
	}
	if out.err != nil && out.mark != "" {
		// The request may have been sent while the node closed the connection. It
		// must not have run then, which checkRunCounts verifies.
		c.unanswered = append(c.unanswered, out.mark)
		return
	}
	c.errorf("request %s at node %d failed while no fault was active: status %d, %s, %v",
		id, n+1, out.status, bytes.TrimSpace(out.body), out.err)
}

// connectionRefused reports whether the connection was refused, because the node
// was down.
func connectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err != nil && strings.Contains(err.Error(), "connection refused")
}

// checkRunCounts checks that no request ran more than once, and that none ran
// that was reported as not run or lost its response while no fault was active.
func (c *callers) checkRunCounts() {
	runs := c.fleet.runCounts()
	for mark, n := range runs {
		if n > 1 {
			c.errorf("request %s ran %d times", mark, n)
		}
	}
	for _, mark := range c.notRun {
		if runs[mark] > 0 {
			c.errorf("request %s ran although it was reported as not run", mark)
		}
	}
	for _, mark := range c.unanswered {
		if runs[mark] > 0 {
			c.errorf("request %s ran but its response was lost while no fault was active", mark)
		}
	}
}
