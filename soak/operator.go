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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

const (
	_service        = "lookup"
	_grace          = time.Second
	_inFlightTime   = 500 * time.Millisecond // for requests already in flight when the grace period ends
	_floorShare     = 0.5
	_operators      = 2
	_changeInterval = 300 * time.Millisecond
	_apiTimeout     = 2 * time.Second
)

// With lost disks, operators make many changes, and one of _largeChangeInterval has
// as many extra routes as given, so that an empty host has much to catch up.
const (
	_lossChangeInterval  = 15 * time.Millisecond
	_largeChangeInterval = 15
	_extraRoutes         = 400
)

// operators concurrently change one service and read it from random control
// hosts.
type operators struct {
	fleet  *fleet
	errorf func(string, ...any)
	wg     sync.WaitGroup
	done   chan struct{}
	paused atomic.Int32  // number of reasons to make no calls
	signal chan struct{} // receives while a change is confirmed

	mu        sync.Mutex
	confirmed uint64             // newest revision of the service that was confirmed or read
	contents  map[uint64]content // by revision that was confirmed or read
	changes   int                // number of confirmed changes
	applied   map[int][2]int     // by node: start count and applied revision at the last check
}

// content tells changes apart.
type content struct {
	timeout spec.Duration
	routes  int
}

func contentOf(s spec.Service) content {
	return content{timeout: s.Timeout, routes: len(s.Routes)}
}

func newOperators(f *fleet, errorf func(string, ...any)) *operators {
	return &operators{
		fleet: f, errorf: errorf, done: make(chan struct{}), signal: make(chan struct{}),
		contents: map[uint64]content{}, applied: map[int][2]int{},
	}
}

func serviceSpec() spec.Service {
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
	o.wg.Go(o.monitor)
}

func (o *operators) stop() {
	close(o.done)
	o.wg.Wait()
}

func (o *operators) run(k int) {
	rng := rand.New(rand.NewPCG(o.fleet.cfg.Seed, uint64(50+k)))
	interval := _changeInterval
	if o.fleet.cfg.Losses > 0 {
		interval = _lossChangeInterval
	}
	for n := 0; ; n++ {
		select {
		case <-o.done:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(interval))):
		}
		if o.paused.Load() > 0 {
			continue
		}
		host := rng.IntN(o.fleet.cfg.Controls)
		lastConfirmed := o.lastConfirmed()
		if rng.IntN(2) == 0 {
			if v, err := o.read(host); err == nil {
				o.checkRead(host, v, lastConfirmed)
			}
			continue
		}
		change := o.change(rng)
		if rev, err := o.write(host, change, fmt.Sprintf("o%d-%d", k, n)); err == nil {
			o.checkWritten(host, rev, lastConfirmed)
			o.recordConfirmed(rev, change)
		}
	}
}

// change returns a random variant of the service.
func (o *operators) change(rng *rand.Rand) spec.Service {
	// Requests in flight may use the old or the new timeout; both are long enough.
	change := serviceSpec()
	change.Timeout += spec.Duration(rng.IntN(1000)) * spec.Duration(time.Millisecond)
	if o.fleet.cfg.Losses == 0 {
		return change
	}
	change.Timeout += spec.Duration(rng.IntN(1000)) * spec.Duration(time.Microsecond)
	if rng.IntN(_largeChangeInterval) == 0 {
		for n := range _extraRoutes {
			change.Routes = append(change.Routes, spec.Route{Path: fmt.Sprintf("/extra/%d/%0100d", n, n)})
		}
	}
	return change
}

// pause stops the operators' calls until the returned function is called.
func (o *operators) pause() func() {
	o.paused.Add(1)
	return func() { o.paused.Add(-1) }
}

// awaitConfirmed waits until a change is confirmed or the timeout is over.
func (o *operators) awaitConfirmed(timeout time.Duration) {
	select {
	case <-o.signal:
	case <-time.After(timeout):
	}
}

func (o *operators) lastConfirmed() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

func (o *operators) recordConfirmed(rev uint64, s spec.Service) {
	select {
	case o.signal <- struct{}{}:
	default:
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed = max(o.confirmed, rev)
	o.changes++
	o.checkContent(rev, contentOf(s))
}

// checkRead checks that a read returns at least the revision that was confirmed
// before it began.
func (o *operators) checkRead(host int, v view.VersionedService, lastConfirmed uint64) {
	if v.Rev < lastConfirmed {
		o.errorf("control host %d returned revision %d after %d had been confirmed", host+1, v.Rev, lastConfirmed)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.confirmed = max(o.confirmed, v.Rev)
	o.checkContent(v.Rev, contentOf(v.Service))
}

// checkWritten checks that a change gets a later revision than the one that was
// confirmed before it began.
func (o *operators) checkWritten(host int, rev, lastConfirmed uint64) {
	if rev <= lastConfirmed {
		o.errorf("control host %d gave a change revision %d after %d had been confirmed", host+1, rev, lastConfirmed)
	}
}

// checkContent checks that a revision has the same content each time. The caller
// holds the lock.
func (o *operators) checkContent(rev uint64, c content) {
	if known, ok := o.contents[rev]; ok && known != c {
		o.errorf("revision %d has content %+v after it had %+v", rev, c, known)
	}
	o.contents[rev] = c
}

func (o *operators) call(method, url string, header http.Header, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), _apiTimeout)
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
	if err != nil {
		return errors.Errorf("read: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, out)
}

func (o *operators) read(host int) (view.VersionedService, error) {
	var v view.VersionedService
	return v, o.call(http.MethodGet, "http://"+o.fleet.controlSettings(host).API+"/v1/services/"+_service, nil, nil, &v)
}

func (o *operators) status(host int) (ctrl.FleetStatus, error) {
	var s ctrl.FleetStatus
	return s, o.call(http.MethodGet, "http://"+o.fleet.controlSettings(host).API+"/v1/status", nil, nil, &s)
}

// localStatus returns the status as a host knows it, which makes no control host
// send a message to another one's replica.
func (o *operators) localStatus(host int) (ctrl.FleetStatus, error) {
	var s ctrl.FleetStatus
	return s, o.call(http.MethodGet, "http://"+o.fleet.controlSettings(host).API+"/v1/status?stale=1", nil, nil, &s)
}

func (o *operators) write(host int, s spec.Service, id string) (uint64, error) {
	var written struct{ Rev uint64 }
	header := http.Header{"If-Match": {"*"}, node.HeaderRequestID: {id}}
	err := o.call(http.MethodPut, "http://"+o.fleet.controlSettings(host).API+"/v1/services/"+_service, header, s, &written)
	return written.Rev, err
}

// monitor checks periodically that the revision applied at a node never decreases
// while its process runs, and that ejections keep to the service's floor.
func (o *operators) monitor() {
	for {
		select {
		case <-o.done:
			return
		case <-time.After(_changeInterval):
		}
		if o.paused.Load() > 0 {
			continue
		}
		for n := range o.fleet.nodes {
			o.checkNodeRevision(n)
		}
		for host := range o.fleet.cfg.Controls {
			o.checkFloor(host)
		}
	}
}

func (o *operators) checkNodeRevision(n int) {
	start := o.fleet.startCount(n)
	var health struct{ Rev, Epoch uint64 }
	url := "http://" + o.fleet.nodes[n].Local + "/v1/health"
	if err := o.call(http.MethodGet, url, nil, nil, &health); err != nil || o.fleet.startCount(n) != start {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if last := o.applied[n]; last[0] == start && int(health.Rev) < last[1] {
		o.errorf("node %d reverted from revision %d to %d", n+1, last[1], health.Rev)
	}
	o.applied[n] = [2]int{start, int(health.Rev)}
}

func (o *operators) checkFloor(host int) {
	status, err := o.status(host)
	if err != nil {
		return
	}
	for _, s := range status.Services {
		all := len(s.Ejected) + s.Healthy
		if floor := serviceSpec().FloorOf(all); len(s.Ejected) > 0 && s.Healthy < floor {
			o.errorf("%d of %d instances are ejected and %d are healthy, below the floor of %d", len(s.Ejected), all, s.Healthy, floor)
		}
	}
}

// checkReadBack reads the service from every host. It returns an error unless all
// answer.
func (o *operators) checkReadBack() error {
	for host := range o.fleet.cfg.Controls {
		lastConfirmed := o.lastConfirmed()
		v, err := o.read(host)
		if err != nil {
			return errors.Errorf("control host %d: %w", host+1, err)
		}
		o.checkRead(host, v, lastConfirmed)
	}
	return nil
}

// checkConverged returns an error unless every node has applied the last confirmed
// revision.
func (o *operators) checkConverged() error {
	status, err := o.status(0)
	if err != nil {
		return err
	}
	for _, s := range status.Services {
		if s.Rev < o.lastConfirmed() {
			return errors.Newf("control host 1 is at revision %d, want %d", s.Rev, o.lastConfirmed())
		}
	}
	if len(status.Nodes) < len(o.fleet.nodes) {
		return errors.Newf("control host 1 reports %d nodes, want %d", len(status.Nodes), len(o.fleet.nodes))
	}
	for _, n := range status.Nodes {
		if n.Rev < status.Rev {
			return errors.Newf("node %s is at revision %d, want %d", n.Node, n.Rev, status.Rev)
		}
	}
	return nil
}
