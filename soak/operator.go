package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_service    = "lookup"
	_grace      = time.Second
	_late       = 500 * time.Millisecond // for what was on its way
	_floorShare = 0.5
	_operators  = 2
	_changeEach = 300 * time.Millisecond
	_callTime   = 2 * time.Second
)

// operators race to change one service, and read it at any control host.
type operators struct {
	w    *world
	note func(string, ...any)
	wg   sync.WaitGroup
	stop chan struct{}

	mu        sync.Mutex
	confirmed uint64         // the newest revision of the service that was confirmed or read
	changes   int            // that were confirmed
	held      map[int][2]int // start and revision that each node said it had in force
}

func declared() spec.Service {
	return spec.Service{
		Name: _service, Share: _floorShare, Patience: spec.Quick, Grace: spec.Duration(_grace),
		Timeout: spec.Duration(3 * time.Second), Warmup: spec.Duration(time.Millisecond),
		Routes: []spec.Route{{Path: "/check"}, {Path: "/blob"}, {Path: "/renew", Method: http.MethodPost, Once: true}},
	}.WithDefaults()
}

func (o *operators) start() {
	for k := range _operators {
		o.wg.Go(func() { o.run(k) })
	}
	o.wg.Go(o.watch)
}

func (o *operators) end() {
	close(o.stop)
	o.wg.Wait()
}

func (o *operators) run(k int) {
	rng := rand.New(rand.NewPCG(o.w.cfg.Seed, uint64(50+k)))
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(_changeEach))):
		}
		host := rng.IntN(len(o.w.controls))
		newest := o.newest()
		if rng.IntN(2) == 0 {
			if v, err := o.read(host); err == nil {
				o.checkRead(host, v.Rev, newest)
			}
			continue
		}
		// Requests in flight go by one timeout or the other; both are long.
		change := declared()
		change.Timeout += spec.Duration(rng.IntN(1000)) * spec.Duration(time.Millisecond)
		if rev, err := o.write(host, change, fmt.Sprintf("o%d-%d", k, n)); err == nil {
			o.confirm(rev)
		}
	}
}

func (o *operators) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

func (o *operators) confirm(rev uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed = max(o.confirmed, rev)
	o.changes++
}

// checkRead wants a read to tell what was confirmed before it began.
func (o *operators) checkRead(host int, rev, newest uint64) {
	if rev < newest {
		o.note("control host %d answered revision %d though %d was confirmed before", host+1, rev, newest)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed = max(o.confirmed, rev)
}

func (o *operators) call(method, url string, header http.Header, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), _callTime)
	defer cancel()
	var body io.Reader = http.NoBody
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Errorf("request: %w", err)
	}
	r.Header = header
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Errorf("call: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s: %w", response.StatusCode, bytes.TrimSpace(data), err)
	}
	return json.Unmarshal(data, out)
}

func (o *operators) read(host int) (view.VersionedService, error) {
	var v view.VersionedService
	return v, o.call(http.MethodGet, "http://"+o.w.controls[host].API+"/v1/services/"+_service, nil, nil, &v)
}

func (o *operators) status(host int) (ctrl.FleetStatus, error) {
	var s ctrl.FleetStatus
	return s, o.call(http.MethodGet, "http://"+o.w.controls[host].API+"/v1/status", nil, nil, &s)
}

func (o *operators) write(host int, s spec.Service, id string) (uint64, error) {
	var written struct{ Rev uint64 }
	header := http.Header{"If-Match": {"*"}, node.HeaderRequestID: {id}}
	err := o.call(http.MethodPut, "http://"+o.w.controls[host].API+"/v1/services/"+_service, header, s, &written)
	return written.Rev, err
}

// watch asks every node what it has in force: it never goes back while the node
// runs; and every control host whom it has ejected: the floor holds.
func (o *operators) watch() {
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(_changeEach):
		}
		for n := range o.w.nodes {
			o.checkForce(n)
		}
		for host := range o.w.controls {
			o.checkFloor(host)
		}
	}
}

func (o *operators) checkForce(n int) {
	start := o.w.startsOf(n)
	var health struct{ Rev, Epoch uint64 }
	url := "http://" + o.w.nodes[n].Local + "/v1/health"
	if err := o.call(http.MethodGet, url, nil, nil, &health); err != nil || o.w.startsOf(n) != start {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if last := o.held[n]; last[0] == start && int(health.Rev) < last[1] {
		o.note("node %d went back from revision %d to %d", n+1, last[1], health.Rev)
	}
	o.held[n] = [2]int{start, int(health.Rev)}
}

func (o *operators) checkFloor(host int) {
	status, err := o.status(host)
	if err != nil {
		return
	}
	for _, s := range status.Services {
		all := len(s.Ejected) + s.Healthy
		if least := declared().FloorOf(all); len(s.Ejected) > 0 && s.Healthy < least {
			o.note("%d of %d instances are ejected and %d are healthy, the floor is %d", len(s.Ejected), all, s.Healthy, least)
		}
	}
}

// checkForceAll reports whether every node has what was confirmed last in force.
func (o *operators) checkForceAll() error {
	status, err := o.status(0)
	if err != nil {
		return err
	}
	for _, s := range status.Services {
		if s.Rev < o.newest() {
			return errors.Newf("revision %d of %d", s.Rev, o.newest())
		}
	}
	if len(status.Nodes) < len(o.w.nodes) {
		return errors.Newf("%d of %d nodes", len(status.Nodes), len(o.w.nodes))
	}
	for _, n := range status.Nodes {
		if n.Rev < status.Rev {
			return errors.Newf("node %s holds %d of %d", n.Node, n.Rev, status.Rev)
		}
	}
	return nil
}
