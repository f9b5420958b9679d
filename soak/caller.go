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
	_callers = 3 // at each node
	_pause   = 10 * time.Millisecond
	_patient = 5 * time.Second
)

// outcome is what a caller was told of one request.
type outcome struct {
	mark   string // what backend servers count it by, for one that may run once
	status int
	told   string // whether it ran, in the system's words
	body   []byte
	err    error
}

// callers send requests to every node, keep their connections and check what
// comes back.
type callers struct {
	w     *world
	calm  *calm
	note  func(string, ...any)
	wg    sync.WaitGroup
	stop  chan struct{}
	tally tally

	mu     sync.Mutex
	notRun []string // marks of which the caller was told that they did not run
	cut    []string // marks of which the caller saw no answer in a calm time
}

// tally counts the answers.
type tally struct {
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

func (c *callers) start() {
	for n := range c.w.nodes {
		for k := range _callers {
			c.wg.Go(func() { c.run(n, k) })
		}
	}
}

func (c *callers) end() {
	close(c.stop)
	c.wg.Wait()
}

// run sends one request after the other from one caller.
func (c *callers) run(n, k int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: _patient}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(c.w.cfg.Seed, uint64(100+n*_callers+k)))
	for seq := 0; ; seq++ {
		select {
		case <-c.stop:
			return
		case <-time.After(_pause):
		}
		id := fmt.Sprintf("%d-%d-%d", n, k, seq)
		began := time.Now()
		var out outcome
		switch kind := rng.IntN(8); {
		case kind < 2:
			out = c.renew(client, n, id)
		case kind == 2:
			out = c.renewWithKey(client, n, id)
		case kind == 3:
			out = c.download(client, n, id)
		default:
			out = c.lookup(client, n, id)
		}
		c.judge(n, id, began, out)
	}
}

func (c *callers) send(client *http.Client, n int, method, path string, header http.Header) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), _patient)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.w.nodes[n].Caller+path, nil)
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
	return outcome{status: response.StatusCode, told: response.Header.Get(node.HeaderOutcome), body: body, err: err}
}

// lookup asks for something that may be asked again, and checks that a success
// is whole and its own.
func (c *callers) lookup(client *http.Client, n int, id string) outcome {
	path := "/check/" + id
	out := c.send(client, n, http.MethodGet, path, http.Header{node.HeaderRequestID: {id}})
	c.checkOwn(id, path, out)
	return out
}

func (c *callers) checkOwn(id, path string, out outcome) {
	if out.err != nil || out.status != http.StatusOK {
		return
	}
	var answer fake.Answer
	if err := json.Unmarshal(out.body, &answer); err != nil || answer.Path != path || answer.Request != id {
		c.note("request %s got the answer %q: %v", id, out.body, err)
	}
}

// download asks for a large answer.
func (c *callers) download(client *http.Client, n int, id string) outcome {
	path := "/blob/" + id
	out := c.send(client, n, http.MethodGet, path, http.Header{node.HeaderRequestID: {id}})
	if out.err == nil && out.status == http.StatusOK && !bytes.Equal(out.body, fake.Blob(path)) {
		c.note("download %s got %d bytes that are not its own", id, len(out.body))
	}
	return out
}

// renew asks for something that must run once.
func (c *callers) renew(client *http.Client, n int, id string) outcome {
	out := c.send(client, n, http.MethodPost, "/renew/"+id, http.Header{node.HeaderRequestID: {id}, "Mark": {id}})
	out.mark = id
	c.checkOwn(id, "/renew/"+id, out)
	return out
}

// renewWithKey does the same with an idempotency key, and asks again at another
// node where the outcome is not known.
func (c *callers) renewWithKey(client *http.Client, n int, id string) outcome {
	header := http.Header{node.HeaderRequestID: {id}, node.HeaderIdempotencyKey: {"k" + id}, "Mark": {id}}
	out := c.send(client, n, http.MethodPost, "/renew/"+id, header)
	for try := 1; try < 3 && (out.err != nil || out.status != http.StatusOK); try++ {
		time.Sleep(10 * _pause)
		c.send(client, (n+try)%len(c.w.nodes), http.MethodPost, "/renew/"+id, header)
	}
	// Of the first answer alone "not run" would not hold: it was sent again.
	return outcome{status: out.status, err: out.err, mark: id, body: out.body}
}

// judge counts an answer, and notes one that no failure excuses.
func (c *callers) judge(n int, id string, began time.Time, out outcome) {
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
	if out.mark != "" && out.told == "not-run" {
		c.notRun = append(c.notRun, out.mark)
	}
	if served || !c.calm.since(began.Add(-_settle)) || neverTaken(out.err) {
		return
	}
	if out.err != nil && out.mark != "" {
		// It may have crossed the close of a connection: then it has not run.
		c.cut = append(c.cut, out.mark)
		return
	}
	c.note("request %s at node %d was not served though only planned work went on: status %d, %s, %v",
		id, n+1, out.status, bytes.TrimSpace(out.body), out.err)
}

// neverTaken reports whether nobody took the connection: the node was down.
func neverTaken(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || err != nil && strings.Contains(err.Error(), "connection refused")
}

// checkRuns checks that nothing ran twice, or though it was said not to have run.
func (c *callers) checkRuns() {
	runs := c.w.runs()
	for mark, n := range runs {
		if n > 1 {
			c.note("request %s ran %d times", mark, n)
		}
	}
	for _, mark := range c.notRun {
		if runs[mark] > 0 {
			c.note("request %s ran though its caller was told that it did not", mark)
		}
	}
	for _, mark := range c.cut {
		if runs[mark] > 0 {
			c.note("request %s ran and its answer was cut though only planned work went on", mark)
		}
	}
}
