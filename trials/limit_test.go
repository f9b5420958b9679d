package trials

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	_limitWindow = 4 * time.Second
	_limitFactor = 1.5 // of the named rate that an instance may get in a window
	_limitSlack  = 5   // requests beyond that
	// _limitKnown is how long after an instance has named its limit the limit binds.
	_limitKnown = 500 * time.Millisecond
)

// arrivals records when requests reach an instance.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// most returns the largest number of arrivals in a window after a time.
func (a *arrivals) most(after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, first := range a.times {
		if first.Before(after) {
			continue
		}
		end, _ := slices.BinarySearchFunc(a.times, first.Add(_limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// callAll sends requests from several callers at the given nodes until the time is over.
// It returns the number of responses by status.
func (f *fleet) callAll(callers int, lasting time.Duration, nodes ...int) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	end := time.Now().Add(lasting)
	for c := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				method, path := http.MethodGet, "/a/1"
				if c%2 == 0 {
					method, path = http.MethodPost, "/b/1"
				}
				status, _, _, err := f.sendPlatform(nodes[c/2%len(nodes)], method, path, fmt.Sprintf("c%d-%d-%d", c, n, time.Now().UnixNano()))
				if err != nil {
					status = 0
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return statuses
}

// TestMaxRateOfInstance guards against an instance that gets more requests than the rate
// that it names in its responses, summed over all nodes.
func TestMaxRateOfInstance(t *testing.T) {
	const (
		rate    = 2.2
		lasting = 9 * time.Second
	)
	f := startPlatformFleet(t)
	limited, other := f.startInstances(t)
	var reached arrivals
	limited.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		reached.add()
		w.Header().Set(limited.names.MaxRate, strconv.FormatFloat(rate, 'f', 1, 64))
		return false
	})
	go func() {
		// Reports keep the instances' leases; these do not name the limit.
		for n := range int(lasting / time.Second) {
			_, _ = f.report(0, limited, "lookup", "ready", n+2)
			_, _ = f.report(1, other, "lookup", "ready", n+2)
			time.Sleep(time.Second)
		}
	}()
	named := time.Now()
	statuses := f.callAll(8, lasting, 0, 1)
	allowed := int(rate*_limitWindow.Seconds()*_limitFactor) + _limitSlack
	if got := reached.most(named.Add(_limitKnown)); got > allowed {
		t.Errorf("%d requests in %v at a rate of %v a second, allowed %d", got, _limitWindow, rate, allowed)
	}
	if reached.most(named) == 0 || statuses[http.StatusOK] < 500 {
		t.Errorf("%d requests at the limited instance; responses by status: %v", reached.most(named), statuses)
	}
	limited.setHandler(nil)
	f.eventually("more requests without the limit", func() error {
		before := len(limited.requests())
		f.callAll(4, time.Second, 0, 1)
		if got := len(limited.requests()) - before; float64(got) < 4*rate {
			return fmt.Errorf("%d requests in a second", got)
		}
		return nil
	})
}

// TestMaxRateAfterOwnerRestart guards against a burst at a limited instance when its owner
// has restarted and does not know the limit, while the node where the requests begin does.
func TestMaxRateAfterOwnerRestart(t *testing.T) {
	const (
		rate  = 1.0
		slots = 40
	)
	f := startPlatformFleet(t)
	limited, other := f.startInstances(t)
	var reached arrivals
	limited.setHandler(func(w http.ResponseWriter, _ *http.Request) bool {
		reached.add()
		time.Sleep(500 * time.Millisecond)
		w.Header().Set(limited.names.MaxRate, strconv.FormatFloat(rate, 'f', 1, 64))
		return false
	})
	other.setHandler(func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(50 * time.Millisecond)
		return false
	})
	f.callAll(4, 2*time.Second, 1)
	named := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.callAll(40, 10*time.Second, 1)
	}()
	time.Sleep(2 * time.Second)
	f.kill(f.nodes[0].Name)
	f.start(f.nodes[0].Name, "node", f.nodes[0], "--platform")
	f.eventually("report to the new process", func() error {
		status, err := f.reportAddr(0, limited.id, limited.addr(), "lookup", "ready", 2, slots)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d: %w", status, err)
		}
		return nil
	})
	restarted := time.Now()
	<-done
	allowed := int(rate*_limitWindow.Seconds()*_limitFactor) + _limitSlack
	if got := reached.most(named); got > allowed {
		t.Errorf("%d requests in %v at a rate of %v a second, allowed %d", got, _limitWindow, rate, allowed)
	}
	if reached.most(restarted) == 0 {
		t.Error("no request reached the instance after the restart")
	}
}
