// Command claims measures the throughput and latency of idempotency claims at a
// set of control hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ctrl"
	"github.com/damaskpitch/damaskpitch/place"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/wire"
)

const (
	_key       = "key-for-this-measurement"
	_basePort  = 7700
	_maxMicros = 60_000_000
	_digits    = 3
)

func main() {
	app := &cli.Command{
		Name: "claims",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "hosts", Usage: "number of control hosts", Value: 3},
			&cli.IntFlag{Name: "groups", Usage: "number of claim groups, over which keys are spread", Value: 4},
			&cli.DurationFlag{Name: "for", Usage: "duration of each load", Value: 5 * time.Second},
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
	leader, err := startControls(ctx, c.Int("hosts"), uint32(c.Int("groups")))
	if err != nil {
		return err
	}
	fmt.Println("| concurrent callers | claims/s | p50 | p99 | failed |\n|---|---|---|---|---|")
	for _, callers := range []int{1, 8, 64, 256} {
		h, failed := load(ctx, leader, callers, uint32(c.Int("groups")), c.Duration("for"))
		fmt.Printf("| %d | %.0f | %v | %v | %d |\n", callers, float64(h.TotalCount())/c.Duration("for").Seconds(),
			time.Duration(h.ValueAtQuantile(50))*time.Microsecond, time.Duration(h.ValueAtQuantile(99))*time.Microsecond, failed)
	}
	return nil
}

func addr(n int) string { return fmt.Sprintf("127.0.0.1:%d", _basePort+n) }

// startControls runs the control hosts and returns the address of the leader.
func startControls(ctx context.Context, n int, groups uint32) (string, error) {
	folder, err := os.MkdirTemp("", "damaskpitch-claims-")
	if err != nil {
		return "", fmt.Errorf("create data folder: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = os.RemoveAll(folder) })
	var hosts []config.Host
	for i := range n {
		hosts = append(hosts, config.Host{Name: fmt.Sprintf("c%d", i+1), Addr: addr(2*i + 1)})
	}
	for i, h := range hosts {
		s, err := ctrl.New(ctx, ctrl.Config{Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Settings: config.Control{
			Name: h.Name, Center: "mida", Data: filepath.Join(folder, h.Name), API: addr(2 * i), Peer: h.Addr, Key: _key, Hosts: hosts, Groups: groups,
		}})
		if err != nil {
			return "", err
		}
		go func() { _ = s.Run(ctx) }()
	}
	client := wire.NewClient(_key, proto.Codec)
	for range 300 {
		for _, h := range hosts {
			reply, err := client.Call(ctx, h.Addr, proto.Submit{Command: store.AdvanceClock{}})
			if out, ok := reply.(proto.SubmitReply); err == nil && ok && out.Result != nil {
				time.Sleep(2 * time.Second) // the other hosts join meanwhile
				return h.Addr, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", errors.New("no leader elected")
}

// load submits claims from concurrent callers, each of which waits for a result
// before it sends the next.
func load(ctx context.Context, leader string, callers int, groups uint32, duration time.Duration) (*hdrhistogram.Histogram, int) {
	client := wire.NewClient(_key, proto.Codec)
	h := hdrhistogram.New(1, _maxMicros, _digits)
	failed, redirected := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	targets := make([]atomic.Value, groups+1)
	for i := range targets {
		targets[i].Store(leader)
	}
	for caller := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				started := time.Now()
				key := fmt.Sprintf("k-%d-%d-%d", callers, caller, n)
				group := place.GroupOf(key, groups)
				reply, err := client.Call(ctx, targets[group].Load().(string), proto.Submit{
					Group:   group,
					Command: store.Claim{Key: key, Digest: 1, Holder: "n.1.1", TTL: time.Minute},
				})
				out, _ := reply.(proto.SubmitReply)
				claimed, ok := out.Result.(store.ClaimResult)
				if out.Leader != "" {
					targets[group].Store(out.Leader)
				}
				mu.Lock()
				switch {
				case out.Leader != "":
					redirected++
				case err != nil || !ok || !claimed.Granted:
					failed++
				default:
					_ = h.RecordValue(time.Since(started).Microseconds())
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if redirected > 0 {
		fmt.Printf("(%d requests were redirected to another leader)\n", redirected)
	}
	return h, failed
}
