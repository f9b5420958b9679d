// Package study drives the detector in virtual time with generated work, to
// measure how soon it ejects a sick instance and how often a healthy one.
//
//	r := study.Run(study.Config{Patience: spec.Quick, Ill: study.Errors(0.5), Seed: 1})
//
// Its values live as long as one measurement.
package study
