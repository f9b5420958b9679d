// Package study simulates the failure detector in virtual time under generated
// load. It measures how soon the detector ejects a faulty instance and how often
// it ejects a healthy one.
//
//	r := study.Run(study.Config{
//		Patience: spec.Quick, Fault: study.Errors(0.5), Onset: time.Second, For: time.Minute, Seed: 1,
//	})
//
// A value is valid for one simulation.
package study
