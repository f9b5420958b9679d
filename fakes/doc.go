// Package fakes stands in for what lies outside the system: backend servers
// that fail in gray ways, and a relay that cuts, freezes or delays one
// direction of a link.
//
//	b, err := fakes.StartBackend(ctx, fakes.BackendConfig{ID: "lookup-1", Service: "lookup"})
//
// Its values live as long as the process.
package fakes
