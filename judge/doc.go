// Package judge decides from an instance's real work whether it is sick: two
// cumulative sum tests, one over failures and one over answers that are slow
// against the service's median, ask for an ejection once the evidence passes
// the patience that the service states.
//
//	m := judge.New(judge.Config{Patience: spec.Quick})
//	m, cmds := m.Update(judge.WorkMsg{At: now, Took: took, Failed: failed})
//
// A model lives as long as its instance.
package judge
