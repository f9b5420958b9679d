// Package detect detects unhealthy instances from the results of real requests.
// Cumulative sum (CUSUM) tests over failures, and over responses and bodies that
// are slow against the service's median, request an ejection once the evidence
// reaches the threshold of the service's patience.
//
//	m := detect.New(detect.Config{Patience: spec.Quick})
//	m, cmds := m.Update(detect.ResultMsg{At: now, Latency: latency, Failed: failed})
//
// A model lives as long as its instance.
package detect
