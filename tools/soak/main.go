// Command soak runs seeded fault injection against real processes and checks the
// system's guarantees: go run ./tools/soak --seeds 50.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/damaskpitch/damaskpitch/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run seeded fault injection against real processes; exits with 1 if a guarantee was violated",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: uint64(time.Now().Unix()), Usage: "first seed; the current time by default"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run"},
			&cli.IntFlag{Name: "beside", Value: 1, Usage: "number of seeds to run concurrently"},
			&cli.DurationFlag{Name: "for", Value: 15 * time.Second, Usage: "how long to inject faults for each seed"},
			&cli.IntFlag{Name: "controls", Value: 3, Usage: "number of control hosts, if no disks are lost"},
			&cli.IntFlag{Name: "losses", Usage: "number of control hosts that lose their disks at once, of twice as many and one"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "number of nodes, each with a backend server"},
			&cli.StringFlag{Name: "folder", Value: "soak-logs", Usage: "`FOLDER` for the logs of seeds that failed"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	folder, err := filepath.Abs(c.String("folder"))
	if err != nil {
		return errors.Errorf("resolve log folder: %w", err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return errors.Errorf("create log folder: %w", err)
	}
	binary := filepath.Join(folder, "damaskpitch")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/damaskpitch")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return errors.Errorf("build: %w", err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	semaphore := make(chan struct{}, max(1, c.Int("beside")))
	for i := range c.Int("seeds") {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			cfg := soak.Config{
				Seed: c.Uint64("seed") + uint64(i), For: c.Duration("for"),
				Controls: c.Int("controls"), Nodes: c.Int("nodes"), Losses: c.Int("losses"), Binary: binary,
			}
			if cfg.Losses > 0 {
				cfg.Controls = 2*cfg.Losses + 1
			}
			n := runSeed(ctx, cfg, folder)
			mu.Lock()
			defer mu.Unlock()
			failed += n
		})
	}
	wg.Wait()
	if failed > 0 {
		return errors.Newf("%d of %d seeds failed; their logs are in %s", failed, c.Int("seeds"), folder)
	}
	return nil
}

// runSeed runs one seed, prints a summary and returns 1 if it failed. It removes
// the logs of a seed that passed.
func runSeed(ctx context.Context, cfg soak.Config, folder string) int {
	cfg.Folder = filepath.Join(folder, strconv.FormatUint(cfg.Seed, 10))
	if err := os.RemoveAll(cfg.Folder); err != nil {
		fmt.Fprintln(os.Stderr, "remove the logs of an earlier run:", err)
		return 1
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	data, err := json.Marshal(report)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("seed %d: %d events, %d losses, %+v, %d changes, %d violations\n",
		report.Seed, len(report.Events), report.Losses, report.Tally, report.Changes, len(report.Violations))
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(cfg.Folder) // leftovers do no harm
		return 0
	}
	for _, line := range report.Violations {
		fmt.Println("  ", line)
	}
	if err := os.WriteFile(filepath.Join(cfg.Folder, "report.json"), data, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return 1
}
