// Package view holds the replicated state that nodes receive: the services, members,
// instances, ejections, bans and plan at one revision.
//
//	v := view.New()
//	v.Apply(view.Event{Rev: 7, Change: view.ServicePut{Service: s}})
package view
