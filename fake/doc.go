// Package fake provides test doubles for what lies outside the system: backend
// servers with partial failures, and a relay that drops or delays traffic in either
// direction, or resets its connections.
//
//	b, err := fake.StartBackend(ctx, fake.BackendConfig{ID: "lookup-1", Service: "lookup"})
//
// A fake lives until its context ends.
package fake
