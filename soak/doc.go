// Package soak runs the built program as separate processes, injects a
// reproducible, seeded schedule of faults from outside, and checks the system's
// guarantees against what callers and backend servers observe.
//
//	report, err := soak.Run(ctx, soak.Config{Seed: 7, Binary: "damaskpitch", Folder: dir})
//
// It ends only processes that it started. Clock skew and disk failures are not
// covered: injecting them needs privileges that a test does not have.
package soak
