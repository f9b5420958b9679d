// Command curves measures the detector's trade-off between the time to eject a
// faulty instance and the rate of false ejections, in virtual time. It prints
// tables and plots the curve.
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
	_onset         = 5 * time.Second
	_faultDuration = time.Minute
	_instances     = 8
	_runTime       = 25 * time.Hour
)

func main() {
	app := &cli.Command{
		Name: "curves",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "patience", Usage: "detector `SETTING` to measure; may be repeated", Value: []string{"quick", "sure"}},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs for each fault", Value: 1000},
			&cli.IntFlag{Name: "hours", Usage: "instance hours for each kind of noise", Value: 10000},
			&cli.IntFlag{Name: "curve", Usage: "instance hours for each point of the curve", Value: 1000},
			&cli.StringFlag{Name: "plot", Usage: "write the plot to `FILE`", Value: "curve.svg"},
		},
		Action: measure,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func measure(_ context.Context, c *cli.Command) error {
	faults := []study.Fault{
		study.Crash(), study.Errors(0.5), study.Hang(), study.Slow(3), study.Slow(10), study.Flapping(10 * time.Second),
	}
	fmt.Println("| patience | fault | p50 | p99 |\n|---|---|---|---|")
	var settings []spec.Patience
	for _, s := range c.StringSlice("patience") {
		settings = append(settings, spec.Patience(s))
	}
	for _, patience := range settings {
		for _, fault := range faults {
			p50, p99 := detectionTimes(study.Config{Patience: patience, Fault: fault}, c.Int("seeds"))
			fmt.Printf("| %s | %s %.1f %.0fx | %v | %v |\n", patience, fault.Name, fault.ErrorRate, fault.Slowdown, p50, p99)
		}
	}
	fmt.Println("\n| patience | noise | instance hours | false ejections |\n|---|---|---|---|")
	for _, patience := range settings {
		for _, noise := range []study.Noise{study.BaselineNoise(), study.LoadSpikes(), study.ColdStarts()} {
			n := falseEjections(study.Config{Patience: patience, Noise: noise}, c.Int("hours"))
			fmt.Printf("| %s | %s | %d | %d |\n", patience, noise.Name, c.Int("hours"), n)
		}
	}
	return measureCurve(c)
}

// detectionTimes returns the median and the 99th percentile of the detection time
// over seeds. A fault that is not detected counts with its whole duration.
func detectionTimes(cfg study.Config, seeds int) (time.Duration, time.Duration) {
	times := make([]time.Duration, seeds)
	forEach(seeds, func(n int) {
		run := cfg
		run.Seed, run.Onset, run.For = uint64(n), _onset, _onset+_faultDuration
		r := study.Run(run)
		times[n] = r.Detected
		if !r.Ejected {
			times[n] = _faultDuration
		}
	})
	slices.Sort(times)
	return times[seeds/2].Round(time.Millisecond), times[seeds*99/100].Round(time.Millisecond)
}

// falseEjections returns the number of false ejections in that many instance hours.
func falseEjections(cfg study.Config, hours int) int {
	runs := max(1, hours/_instances/int(_runTime.Hours()))
	counts := make([]int, runs)
	forEach(runs, func(n int) {
		run := cfg
		run.Seed = uint64(n)
		run.For = time.Duration(hours) * time.Hour / time.Duration(_instances*runs)
		counts[n] = study.Run(run).FalseEjections
	})
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

// measureCurve measures detection times and false ejections at several evidence
// thresholds, with a higher error rate (2 %) than the baseline noise.
func measureCurve(c *cli.Command) error {
	noisy := study.BaselineNoise()
	noisy.Name, noisy.ErrorRate = "noisy", 0.02
	var points plotter.XYs
	fmt.Println("\n| evidence | p99 detection, 50 % errors | false ejections in 1,000 instance hours, 2 % errors |\n|---|---|---|")
	for _, evidence := range []float64{6, 8, 11, 14, 18, 24, 32} {
		cfg := study.Config{Patience: spec.Quick, Threshold: evidence, Fault: study.Errors(0.5), Noise: noisy}
		_, p99 := detectionTimes(cfg, c.Int("seeds")/4)
		cfg.Fault = study.Fault{}
		rate := float64(falseEjections(cfg, c.Int("curve"))) * 1000 / float64(c.Int("curve"))
		fmt.Printf("| %.0f | %v | %.1f |\n", evidence, p99, rate)
		points = append(points, plotter.XY{X: p99.Seconds(), Y: rate})
	}
	return draw(points, c.String("plot"))
}

func draw(points plotter.XYs, file string) error {
	p := plot.New()
	p.Title.Text = "Detection time against false ejections, by evidence threshold"
	p.X.Label.Text = "99th percentile of detection time, s (50 % errors)"
	p.Y.Label.Text = "false ejections in 1,000 instance hours (2 % errors)"
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("create plot: %w", err)
	}
	line.Color = color.RGBA{B: 160, A: 255}
	p.Add(line, marks, plotter.NewGrid())
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

// forEach calls run for 0 to n-1, concurrently on all but two CPUs.
func forEach(n int, run func(n int)) {
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
