// Package spec describes what operators declare: services, their routes, and
// the promises each service must keep.
//
//	service, err := spec.Parse("lookup.yaml", data)
//
// Its values live as long as one version of the configuration.
package spec
