// Package meter sets up the metrics of a process and their scrape endpoint.
//
//	m := meter.New("control")
//	m.Scope.Counter("writes").Inc(1)
//
// Its values live as long as the process.
package meter
