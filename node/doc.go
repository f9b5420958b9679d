// Package node implements the process that runs on each backend server host. As an
// ingress it accepts callers' requests and chooses an instance for each. As an owner
// it controls admission to the instances on its host.
//
//	s := node.New(node.Config{Settings: settings, Logger: logger})
//	err := s.Run(ctx)
//
// A Server lives as long as the process, and the types exchange, attemptResult, job
// and work as long as one request.
package node
