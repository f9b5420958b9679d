package study

import (
	"slices"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const _onset = 5 * time.Second

// detections returns the sorted detection times over the seeds. A simulation
// without an ejection counts with its whole duration.
func detections(c Config, seeds int) []time.Duration {
	var list []time.Duration
	for seed := range seeds {
		c.Seed = uint64(seed)
		c.Onset = _onset
		c.For = _onset + time.Minute
		r := Run(c)
		if !r.Ejected {
			r.Detected = time.Minute
		}
		list = append(list, r.Detected)
	}
	slices.Sort(list)
	return list
}

// TestDetection checks the target for detection time: at 20 requests/s per
// instance the p99 is at most 2 s for quick and 10 s for sure.
func TestDetection(t *testing.T) {
	limits := []struct {
		patience spec.Patience
		limit    time.Duration
	}{
		{spec.Quick, 2 * time.Second},
		{spec.Sure, 10 * time.Second},
	}
	faults := []Fault{Crash(), Errors(1), Errors(0.5), Hang(), Slow(3), Slow(10), Flapping(10 * time.Second)}
	for _, l := range limits {
		for _, fault := range faults {
			list := detections(Config{Patience: l.patience, Fault: fault}, 300)
			p50, p99 := list[len(list)/2], list[len(list)*99/100]
			t.Logf("%s %s %.1f %.0fx: p50 %v, p99 %v", l.patience, fault.Name, fault.ErrorRate, fault.Slowdown, p50, p99)
			if p99 > l.limit {
				t.Errorf("%s, %s %.1f %.0fx: p99 is %v, limit %v", l.patience, fault.Name, fault.ErrorRate, fault.Slowdown, p99, l.limit)
			}
		}
	}
}

// TestFalseEjections checks that sure ejects no healthy instance. It covers only
// part of the target of 10,000 instance hours; tools/curves measures all of it.
func TestFalseEjections(t *testing.T) {
	for _, noise := range []Noise{BaselineNoise(), LoadSpikes(), ColdStarts()} {
		r := Run(Config{Patience: spec.Sure, Noise: noise, For: 3 * time.Hour, Seed: 1})
		if r.FalseEjections > 0 {
			t.Errorf("%s: %d false ejections in 24 instance hours", noise.Name, r.FalseEjections)
		}
		quick := Run(Config{Patience: spec.Quick, Noise: noise, For: 3 * time.Hour, Seed: 1})
		t.Logf("%s: quick ejects %d times in 24 instance hours", noise.Name, quick.FalseEjections)
	}
}

// TestSharedCause checks that no instance is ejected when all of them become
// faulty at once, as with the failure of a shared dependency.
func TestSharedCause(t *testing.T) {
	for _, fault := range []Fault{Errors(1), Errors(0.5), Hang(), Slow(10)} {
		for _, patience := range []spec.Patience{spec.Quick, spec.Sure} {
			for seed := range uint64(20) {
				r := Run(Config{
					Patience: patience, Fault: fault, Faulty: 8, Onset: _onset, For: 3 * time.Minute, Seed: seed,
				})
				if r.MinHealthy < 8 {
					t.Errorf("%s, %s %.1f, seed %d: %d instances left in service", patience, fault.Name, fault.ErrorRate, seed, r.MinHealthy)
				}
			}
		}
	}
}
