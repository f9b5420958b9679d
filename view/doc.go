// Package view materializes the replicated state as nodes see it: the services,
// members, instances, ejections, bans and plan at one revision.
//
//	v := view.New()
//	v.Apply(view.Event{Rev: 7, Change: view.ServicePut{Service: s}})
package view
