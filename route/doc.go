// Package route finds the service of a request and chooses the instance that
// serves it. Instances in the caller's data centre come first; those elsewhere
// are used when the local ones have no free slot.
//
//	t := route.NewTable(services)
//	match, ok := t.Find("permits.example", "GET", "/check/7")
//
// A Table serves one version of the configuration, and a Choice one request.
package route
