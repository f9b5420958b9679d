// Package route finds the service of a request and chooses the instance that
// serves it: in the caller's data centre first, and elsewhere when that one
// has no free slot.
//
//	t := route.NewTable(services)
//	match, ok := t.Find("permits.example", "GET", "/check/7")
//
// A table lives as long as one version of the configuration, a choice as long
// as its request.
package route
