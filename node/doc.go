// Package node is the process on a backend server host. As an ingress it takes
// callers' requests and chooses the instance that serves each; as an owner it
// stands before the instances on its host.
//
//	s, err := node.New(node.Config{Settings: settings, Logger: logger})
//	err = s.Run(ctx)
//
// Its values live as long as the process; ingress.go, attempt.go and answer.go
// hold what lives for one request.
package node
