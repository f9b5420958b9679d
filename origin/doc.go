// Package origin detects the routes that only backend servers call. Requests that
// already hold a slot elsewhere wait for such calls.
//
//	m = m.Update(origin.RequestMsg{Route: "levy", Origin: "lookup"})
//	internal := m.IsInternal("levy")
//
// Requests from outside arrive on hosts of all services, while those of a backend
// server arrive only on hosts of its own service. A Model lasts as long as its
// process.
package origin
