// Package spec defines the services that operators declare, with their routes
// and limits, and validates them.
//
//	services, err := spec.Parse("lookup.yaml", data)
//
// A parsed value belongs to one version of the configuration.
package spec
