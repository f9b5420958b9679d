// Package access finds the customer of a request by its key, and decides how long a node
// may honour keys without confirmation that its plan is current.
//
//	customer, ok := table.Find(secret)
//
// A Table lives as long as a version of the plan, a Lease as long as its process.
package access
