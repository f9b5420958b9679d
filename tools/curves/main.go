// Command curves measures the detector's trade-off in virtual time: how soon a
// sick instance is ejected against how often a healthy one is. It prints
// tables and draws the curve.
package main

import (
	"context"
	"fmt"
	"image/color"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/study"
)

const (
	_onset     = 5 * time.Second
	_ill       = time.Minute
	_instances = 8
	_chunk     = 25 * time.Hour
)

func main() {
	app := &cli.Command{
		Name: "curves",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "patience", Usage: "measure `SETTING`; may be repeated", Value: []string{"quick", "sure"}},
			&cli.IntFlag{Name: "seeds", Usage: "runs for each detection time", Value: 1000},
			&cli.IntFlag{Name: "hours", Usage: "instance hours of each noise", Value: 10000},
			&cli.IntFlag{Name: "curve", Usage: "instance hours for each point of the curve", Value: 1000},
			&cli.StringFlag{Name: "plot", Usage: "draw the curve to `FILE`", Value: "curve.svg"},
		},
		Action: measure,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(_ context.Context, c *cli.Command) error {
	ills := []study.Fault{
		study.Crash(), study.Errors(0.5), study.Hang(), study.Slow(3), study.Slow(10), study.Flapping(10 * time.Second),
	}
	fmt.Println("| patience | illness | p50 | p99 |\n|---|---|---|---|")
	var settings []spec.Patience
	for _, s := range c.StringSlice("patience") {
		settings = append(settings, spec.Patience(s))
	}
	for _, patience := range settings {
		for _, ill := range ills {
			p50, p99 := detect(study.Config{Patience: patience, Fault: ill}, c.Int("seeds"))
			fmt.Printf("| %s | %s %.1f %.0fx | %v | %v |\n", patience, ill.Name, ill.ErrorRate, ill.Slowdown, p50, p99)
		}
	}
	fmt.Println("\n| patience | noise | instance hours | false ejections |\n|---|---|---|---|")
	for _, patience := range settings {
		for _, noise := range []study.Noise{study.BaselineNoise(), study.LoadSpikes(), study.ColdStarts()} {
			n := falses(study.Config{Patience: patience, Noise: noise}, c.Int("hours"))
			fmt.Printf("| %s | %s | %d | %d |\n", patience, noise.Name, c.Int("hours"), n)
		}
	}
	return curve(c)
}

// detect returns the detection time's median and 99th percentile over seeds.
func detect(cfg study.Config, seeds int) (time.Duration, time.Duration) {
	list := make([]time.Duration, seeds)
	each(seeds, func(n int) {
		run := cfg
		run.Seed, run.Onset, run.For = uint64(n), _onset, _onset+_ill
		r := study.Run(run)
		list[n] = r.Detected
		if !r.Ejected {
			list[n] = _ill
		}
	})
	slices.Sort(list)
	return list[seeds/2].Round(time.Millisecond), list[seeds*99/100].Round(time.Millisecond)
}

// falses returns the number of false ejections in so many instance hours.
func falses(cfg study.Config, hours int) int {
	chunks := max(1, hours/_instances/int(_chunk.Hours()))
	counts := make([]int, chunks)
	each(chunks, func(n int) {
		run := cfg
		run.Seed = uint64(n)
		run.For = time.Duration(hours) * time.Hour / time.Duration(_instances*chunks)
		counts[n] = study.Run(run).FalseEjections
	})
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// curve measures detection and false ejections at several amounts of
// evidence, with more noise than an ordinary day has.
func curve(c *cli.Command) error {
	noisy := study.BaselineNoise()
	noisy.Name, noisy.ErrorRate = "noisy", 0.02
	var points plotter.XYs
	fmt.Println("\n| evidence | p99 of errors 0.5 | false ejections in 1,000 instance hours, 2 % failing |\n|---|---|---|")
	for _, evidence := range []float64{6, 8, 11, 14, 18, 24, 32} {
		cfg := study.Config{Patience: spec.Quick, Evidence: evidence, Fault: study.Errors(0.5), Noise: noisy}
		_, p99 := detect(cfg, c.Int("seeds")/4)
		cfg.Fault = study.Fault{}
		rate := float64(falses(cfg, c.Int("curve"))) * 1000 / float64(c.Int("curve"))
		fmt.Printf("| %.0f | %v | %.1f |\n", evidence, p99, rate)
		points = append(points, plotter.XY{X: p99.Seconds(), Y: rate})
	}
	return draw(points, c.String("plot"))
}

func draw(points plotter.XYs, file string) error {
	p := plot.New()
	p.Title.Text = "Detection against false ejections, by evidence"
	p.X.Label.Text = "99th percentile of detection, s (half of the requests fail)"
	p.Y.Label.Text = "false ejections in 1,000 instance hours (2 % of requests fail)"
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	line.Color = color.RGBA{B: 160, A: 255}
	p.Add(line, marks, plotter.NewGrid())
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// each runs the function for each number, a few at a time.
func each(n int, run func(n int)) {
	var group errgroup.Group
	group.SetLimit(max(1, runtime.NumCPU()-2))
	for i := range n {
		group.Go(func() error {
			run(i)
			return nil
		})
	}
	_ = group.Wait()
}
