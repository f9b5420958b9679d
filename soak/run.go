package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	_startTimeout = 30 * time.Second
	// _convergenceTimeout is how long an accepted change may take to be applied at
	// every node.
	_convergenceTimeout = 16 * time.Second
	// _handoverDelay is the time between the start of a node's successor process and the
	// stop of the old one.
	_handoverDelay = time.Second
	_finalRequests = 20
	_maxViolations = 20
)

// Config sets up one run.
type Config struct {
	// Seed determines the events, the requests and the changes.
	Seed uint64
	// For is how long events are injected.
	For time.Duration
	// Controls and Nodes are the numbers of control hosts and nodes.
	Controls, Nodes int
	// Losses is how many control hosts may be lost with their disks at once; they
	// then discover each other. With 0 they are listed and keep their disks.
	Losses int
	// Binary is the path of the built program; Folder is where settings, logs and
	// data are written.
	Binary, Folder string

	script []Event // replaces the losses that the seed gives
}

// Report is the result of one run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Events     []Event  `json:"events"`
	Losses     int      `json:"losses"`
	Notes      []string `json:"notes,omitempty"` // the losses of control hosts as they occurred, and stalls of the machine
	Tally      tally    `json:"tally"`
	Changes    int      `json:"changes"`
	Violations []string `json:"broken,omitempty"`
}

// Run executes one seed; it returns an error if the processes could not be set up.
func Run(ctx context.Context, cfg Config) (Report, error) {
	report := Report{Seed: cfg.Seed, Events: Schedule(cfg)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, cfg)
	if err != nil {
		return report, err
	}
	defer f.procs.killAll()
	if err := f.start(); err != nil {
		return report, err
	}
	began := time.Now()
	var mu sync.Mutex
	errorf := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if len(report.Violations) < _maxViolations {
			report.Violations = append(report.Violations, fmt.Sprintf("%6.2fs ", time.Since(began).Seconds())+fmt.Sprintf(format, args...))
		}
	}
	notef := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		report.Notes = append(report.Notes, fmt.Sprintf("%s %6.2fs ", now.UTC().Format("15:04:05.000"), now.Sub(began).Seconds())+fmt.Sprintf(format, args...))
	}
	faults := &faultTracker{}
	ops := newOperators(f, errorf)
	calls := &callers{fleet: f, faults: faults, errorf: errorf, done: make(chan struct{})}
	if err := eventually(_startTimeout, func() error { return checkReady(f, ops, calls) }); err != nil {
		return report, errors.Errorf("start: %w", err)
	}
	began = time.Now()
	calls.start()
	ops.start()
	stalls := &stallWatch{notef: notef}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if err := stalls.run(ctx, cfg.Folder); err != nil {
			errorf("%v", err)
		}
	})
	i := &injector{fleet: f, elapsed: func() time.Duration { return time.Since(began) }, faults: faults, errorf: errorf, busy: map[string]bool{}}
	l := &lossInjector{
		injector: i, ops: ops, stalls: stalls, notef: notef,
		budget: newBudget(cfg.Controls, cfg.Losses),
	}
	lossesDone := make(chan struct{})
	go func() {
		defer close(lossesDone)
		report.Losses = l.run(ctx, lossSchedule(cfg))
	}()
	i.run(ctx, report.Events)
	<-lossesDone
	ops.stop()
	calls.stop()
	if err := eventually(_convergenceTimeout, ops.checkConverged); err != nil {
		errorf("change not applied at every node %v after the last event: %v", _convergenceTimeout, err)
	}
	if err := eventually(_convergenceTimeout, calls.checkAllServed); err != nil {
		errorf("requests still failing %v after the last event: %v", _convergenceTimeout, err)
	}
	if err := eventually(_convergenceTimeout, ops.checkReadBack); err != nil {
		errorf("change not readable at every control host %v after the last event: %v", _convergenceTimeout, err)
	}
	calls.checkRunCounts()
	// The watch of stalls writes notes to the report.
	cancel()
	wg.Wait()
	report.Tally, report.Changes = calls.tally, ops.changes
	return report, nil
}

// checkReady declares the service if needed and returns an error unless every node
// serves it.
func checkReady(f *fleet, ops *operators, calls *callers) error {
	if ops.lastConfirmed() == 0 {
		rev, err := ops.write(0, serviceSpec(), "first")
		if err != nil {
			return err
		}
		ops.recordConfirmed(rev, serviceSpec())
	}
	if err := ops.checkConverged(); err != nil {
		return err
	}
	status, err := ops.status(0)
	if err != nil {
		return err
	}
	if len(status.Services) != 1 || status.Services[0].Healthy < len(f.nodes) {
		return errors.Newf("want one service with all instances healthy: services %+v", status.Services)
	}
	return calls.checkAllServed()
}

// checkAllServed sends requests to each node and returns an error if one fails.
func (c *callers) checkAllServed() error {
	client := &http.Client{Transport: &http.Transport{}, Timeout: _requestTimeout}
	defer client.CloseIdleConnections()
	for n := range c.fleet.nodes {
		for k := range _finalRequests {
			if out := c.lookup(client, n, fmt.Sprintf("last-%d-%d", n, k)); out.err != nil || out.status != http.StatusOK {
				return errors.Newf("node %d: status %d, %s, %v", n+1, out.status, out.body, out.err)
			}
		}
	}
	return nil
}

// eventually repeats the check until it succeeds or the timeout is over, and
// returns its last error.
func eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
