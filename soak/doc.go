// Package soak runs the built program as separate processes, injects a
// reproducible, seeded schedule of faults from outside, and checks the system's
// guarantees against what callers and backend servers observe.
//
//	report, err := soak.Run(ctx, soak.Config{Seed: 7, Binary: "damaskpitch", Folder: dir})
//
// With Config.Losses, control hosts discover each other, and lose their disks, are
// replaced or are killed together. No more of them than Losses are lost at once, which
// they are until 4 s after they are back.
//
// It ends only processes that it started. Clock skew, faulty disks and what a loss of
// power does to unsynced files are not covered: injecting them needs privileges that a
// test does not have.
package soak
