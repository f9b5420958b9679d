// Package meter provides the metrics of a process and the HTTP handler that
// exports them.
//
//	m := meter.New("control")
//	m.Scope.Counter("writes").Inc(1)
//
// Metrics live as long as the process.
package meter
