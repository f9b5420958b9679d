// Package view folds the changes of the replicated state into what every node
// sees: services, members, instances and ejections at one revision.
//
//	v := view.New()
//	v.Apply(view.Event{Rev: 7, Change: view.ServicePut{Service: s}})
//
// Its values live as long as one version of the configuration.
package view
