package drain_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/drain"
)

func TestTimes(t *testing.T) {
	const stopAt = 10 * time.Second
	cases := []struct {
		name    string
		cfg     drain.Config
		long    time.Duration
		close   time.Duration // after the request to stop, as are the others
		request time.Duration
		start   time.Duration
	}{
		{
			name: "short work", cfg: drain.Config{Timeout: 6 * time.Second}, long: 200 * time.Millisecond,
			close: 3 * time.Second, request: 3 * time.Second, start: 3 * time.Second,
		},
		{
			name: "work of seconds", cfg: drain.Config{Timeout: 6 * time.Second}, long: 4 * time.Second,
			close: 3 * time.Second, request: 3 * time.Second, start: 2 * time.Second,
		},
		{
			name: "work that may outlast the stop", cfg: drain.Config{Timeout: 6 * time.Second}, long: 8 * time.Second,
			close: 3 * time.Second, request: 3 * time.Second, start: -2 * time.Second,
		},
		{
			name: "work of unknown duration", cfg: drain.Config{Timeout: 6 * time.Second},
			close: 3 * time.Second, request: 3 * time.Second, start: time.Second,
		},
		{
			name: "short stop", cfg: drain.Config{Timeout: 2 * time.Second}, long: 100 * time.Millisecond,
			close: time.Second, request: time.Second, start: time.Second,
		},
		{
			name: "successor", cfg: drain.Config{Timeout: 90 * time.Second, Successor: true}, long: time.Minute,
			close: 3 * time.Second, request: 45 * time.Second, start: drain.Never - stopAt,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := drain.New(c.cfg)
			for what, at := range map[string]time.Duration{
				"close": m.CloseAt(), "end": m.End(), "last request": m.LastRequest(), "last start": m.LastStart(c.long),
			} {
				if at != drain.Never {
					t.Errorf("%s of a process that runs on: %s", what, at)
				}
			}
			m = m.Update(drain.StopMsg{At: stopAt}).Update(drain.StopMsg{At: 2 * stopAt})
			if !m.Stopping() || m.Since(stopAt+time.Second) != time.Second || m.End() != stopAt+c.cfg.Timeout {
				t.Errorf("stopping %t, since %s, end %s", m.Stopping(), m.Since(stopAt+time.Second), m.End())
			}
			if got := m.CloseAt() - stopAt; got != c.close {
				t.Errorf("closes after %s, want %s", got, c.close)
			}
			if got := m.LastRequest() - stopAt; got != c.request {
				t.Errorf("last request after %s, want %s", got, c.request)
			}
			if got := m.LastStart(c.long) - stopAt; got != c.start {
				t.Errorf("last start after %s, want %s", got, c.start)
			}
		})
	}
}

// rollingStop is a fleet whose nodes are stopped one after the other while their instances
// are busy, with service times that are spread as widely as in the users' fleets.
type rollingStop struct {
	nodes    int
	stops    int
	gap      time.Duration // between two stops
	timeout  time.Duration
	restart  time.Duration // until a stopped process has started and knows its instance
	median   time.Duration // of the service time
	spread   float64       // of its logarithm
	interval time.Duration // between two requests to one instance
}

// outage is the time in which a node starts no request at its instance.
type outage struct{ from, until time.Duration }

// play returns the outages of the fleet's nodes, how many requests were started in stops
// and how many of those were cut.
func (r rollingStop) play(random *rand.Rand) (outages []outage, started, cut int) {
	var durations drain.Durations
	for range 100 {
		durations = durations.With(r.duration(random))
	}
	for n := range r.stops {
		at := time.Duration(n) * r.gap
		m := drain.New(drain.Config{Timeout: r.timeout}).Update(drain.StopMsg{At: at})
		exit := m.CloseAt()
		last := max(at, min(m.LastStart(durations.Long()), m.End()))
		for start := at; start < last; start += r.interval {
			end := start + r.duration(random)
			started++
			if end > m.End() {
				cut++
			}
			exit = max(exit, min(end, m.End()))
		}
		// Its own callers' requests keep the process as long, too.
		for request := at; request < m.CloseAt(); request += r.interval {
			end := request + r.duration(random)
			exit = max(exit, min(end, m.End()))
		}
		outages = append(outages, outage{from: last, until: exit + r.restart})
	}
	return outages, started, cut
}

// duration draws a service time.
func (r rollingStop) duration(random *rand.Rand) time.Duration {
	return time.Duration(float64(r.median) * math.Exp(r.spread*random.NormFloat64()))
}

// leastInUse returns the least share of the instances that get a request within any window.
func (r rollingStop) leastInUse(outages []outage, window time.Duration) float64 {
	least := 1.0
	for at := time.Duration(0); at < time.Duration(r.stops)*r.gap+2*r.timeout; at += 50 * time.Millisecond {
		idle := 0
		for _, o := range outages {
			if o.from <= at && at+window <= o.until {
				idle++
			}
		}
		least = min(least, 1-float64(idle)/float64(r.nodes))
	}
	return least
}

// TestRollingStopKeepsInstancesInUse guards against a rolling restart that takes more of a
// service's sound instances away than its floor allows. The pattern: half of the nodes are
// stopped within the time that one stop takes. The share is the floor of the users' fleets;
// a cut is work lost, which would have been done elsewhere at the cost of one refusal.
func TestRollingStopKeepsInstancesInUse(t *testing.T) {
	const (
		floorShare = 0.7
		window     = 2 * time.Second
		maxCut     = 0.01 // of the requests that were started in stops
	)
	fleets := []struct {
		name string
		rollingStop
	}{
		{"42 of 87 nodes in five seconds", rollingStop{
			nodes: 87, stops: 42, gap: 125 * time.Millisecond, timeout: 6 * time.Second, restart: time.Second,
			median: 620 * time.Millisecond, spread: 0.8, interval: 100 * time.Millisecond,
		}},
		{"slow work", rollingStop{
			nodes: 87, stops: 30, gap: 150 * time.Millisecond, timeout: 6 * time.Second, restart: time.Second,
			median: 1100 * time.Millisecond, spread: 0.3, interval: 100 * time.Millisecond,
		}},
		{"a large fleet", rollingStop{
			nodes: 2100, stops: 1050, gap: 5 * time.Millisecond, timeout: 6 * time.Second, restart: time.Second,
			median: 50 * time.Millisecond, spread: 0.8, interval: 10 * time.Millisecond,
		}},
	}
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			outages, started, cut := f.play(rand.New(rand.NewPCG(1, 2)))
			if share := f.leastInUse(outages, window); share < floorShare {
				t.Errorf("%.2f of the instances in use, want %.2f", share, floorShare)
			}
			if float64(cut) > maxCut*float64(started) {
				t.Errorf("%d of %d requests cut", cut, started)
			}
			t.Logf("least share %.2f, %d of %d requests cut", f.leastInUse(outages, window), cut, started)
		})
	}
}

func TestDurations(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, spread := range []float64{0.1, 0.3, 0.8} {
		r := rollingStop{median: time.Second, spread: spread}
		var d drain.Durations
		if d.Long() != 0 {
			t.Fatalf("%s without a sample", d.Long())
		}
		longer := 0
		for n := range 10000 {
			sample := r.duration(random)
			if n >= 100 && sample > d.Long() {
				longer++
			}
			d = d.With(sample)
		}
		if longer > 400 {
			t.Errorf("spread %.1f: %d of 9900 take longer than a long one", spread, longer)
		}
		if d.Long() > 10*time.Second {
			t.Errorf("spread %.1f: a long one takes %s", spread, d.Long())
		}
	}
}
