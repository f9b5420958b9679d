// Package origin detects the routes that only backend servers call. A backend server
// that makes such a call holds a slot while it waits for the response.
//
//	m = m.Update(origin.RequestMsg{Route: "levy", Origin: "lookup"})
//	internal := m.IsInternal("levy")
//
// Requests from outside arrive on hosts of all services, while those of a backend
// server arrive only on hosts of its own service. A Model lasts as long as its
// process.
package origin
