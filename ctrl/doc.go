// Package ctrl implements the control daemon: it runs Raft replicas, serves the
// resource API with watches, and tracks the liveness of members.
//
//	s, err := ctrl.New(ctx, ctrl.Config{Settings: settings, Logger: logger})
//	err = s.Run(ctx)
//
// A Server is meant to live as long as its process.
package ctrl
