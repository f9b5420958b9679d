// Command added measures the latency that the system adds to a request. It sends
// requests to fake backend servers directly and through two nodes, over loopback
// and at several rates.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/fake"
	"github.com/damaskpitch/damaskpitch/node"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/store"
)

const (
	_key       = "key-for-this-measurement"
	_basePort  = 7500
	_instances = 8
	_maxMicros = 60_000_000
	_digits    = 3
)

func main() {
	app := &cli.Command{
		Name: "added",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "duration of each load", Value: 5 * time.Second},
			&cli.DurationFlag{Name: "work", Usage: "response time of a backend server", Value: 5 * time.Millisecond},
		},
		Action: measure,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, err := startFleet(ctx, c.Duration("work"))
	if err != nil {
		return err
	}
	// Instances are registered at the second node only, so every request that is
	// sent to the first one passes through both.
	proxied := "http://" + addr(10) + "/check/1"
	if err := awaitServed(ctx, proxied); err != nil {
		return err
	}
	fmt.Println("| requests/s | direct p50 | direct p99 | proxied p50 | proxied p99 | added p50 | added p99 | failed |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, rate := range []int{100, 500, 1000, 2000} {
		d, _ := load(ctx, direct, rate, c.Duration("for"))
		p, failed := load(ctx, []string{proxied}, rate, c.Duration("for"))
		fmt.Printf("| %d | %v | %v | %v | %v | %v | %v | %d |\n", rate,
			percentile(d, 50), percentile(d, 99), percentile(p, 50), percentile(p, 99), percentile(p, 50)-percentile(d, 50), percentile(p, 99)-percentile(d, 99), failed)
	}
	return nil
}

func percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func addr(n int) string { return fmt.Sprintf("127.0.0.1:%d", _basePort+n) }

// startFleet runs a control host, two nodes and fake backend servers that are
// registered at the second node. It returns the backend servers' URLs.
func startFleet(ctx context.Context, workTime time.Duration) ([]string, error) {
	folder, err := os.MkdirTemp("", "damaskpitch-added-")
	if err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = os.RemoveAll(folder) })
	logger := slog.New(slog.NewJSONHandler(io.Discard, nil))
	s, err := ctrl.New(ctx, ctrl.Config{Logger: logger, Store: store.Config{}, Settings: config.Control{
		Name: "c1", Center: "mida", Data: filepath.Join(folder, "c1"), API: addr(0), Peer: addr(1), Key: _key,
		Hosts: []config.Host{{Name: "c1", Addr: addr(1)}},
	}})
	if err != nil {
		return nil, err
	}
	go func() { _ = s.Run(ctx) }()
	for n := range 2 {
		go func() {
			_ = node.New(node.Config{Logger: logger, Settings: config.Node{
				Name: fmt.Sprintf("n%d", n+1), Center: "mida", Caller: addr(10 * (n + 1)), Peer: addr(10*(n+1) + 1),
				Local: addr(10*(n+1) + 2), Key: _key, Control: []string{addr(1)},
			}}).Run(ctx)
		}()
	}
	var urls []string
	for n := range _instances {
		b, err := fake.StartBackend(ctx, fake.BackendConfig{
			ID: fmt.Sprintf("lookup-%d", n+1), Service: "lookup", Node: addr(22),
		})
		if err != nil {
			return nil, err
		}
		b.SetBehaviour(fake.Behaviour{Delay: workTime})
		urls = append(urls, "http://"+b.Addr()+"/check/1")
	}
	return urls, declareService(ctx)
}

func declareService(ctx context.Context) error {
	body := `{"name":"lookup","floor":6,"slots":5,"warmup":"1ms","patience":"` + string(spec.Sure) + `","routes":[{"path":"/check"}]}`
	for ctx.Err() == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr(0)+"/v1/services/lookup", strings.NewReader(body))
		if err != nil {
			return fmt.Errorf("declare service: %w", err)
		}
		r.Header.Set("If-Match", "*")
		if succeeds(r) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

func awaitServed(ctx context.Context, url string) error {
	for range 300 {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return fmt.Errorf("create request: %w", err)
		}
		if succeeds(r) {
			time.Sleep(time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no successful response from %s", url)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

func succeeds(r *http.Request) bool {
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// load sends requests at a fixed rate, regardless of how long responses take. It
// measures latency from the time at which a request was due, so that a delay in
// sending it counts (no coordinated omission).
func load(ctx context.Context, urls []string, rate int, duration time.Duration) (*hdrhistogram.Histogram, int) {
	h := hdrhistogram.New(1, _maxMicros, _digits)
	failed := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		due := began.Add(time.Duration(n) * time.Second / time.Duration(rate))
		if due.Sub(began) >= duration {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, urls[n%len(urls)], http.NoBody)
			if err != nil {
				return
			}
			served := succeeds(r)
			mu.Lock()
			defer mu.Unlock()
			if !served {
				failed++
				return
			}
			_ = h.RecordValue(time.Since(due).Microseconds())
		})
	}
	wg.Wait()
	return h, failed
}
