// Package ctrl is the control daemon: it runs the replicas of the replicated
// log, the resource API with watches, and the directory of members.
//
//	s, err := ctrl.New(ctrl.Config{Settings: settings, Logger: logger})
//	err = s.Run(ctx)
//
// Its values live as long as the process.
package ctrl
