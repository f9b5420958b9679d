// Package proto lists the messages between the system's own processes.
//
//	reply, err := client.Call(ctx, addr, proto.Pull{Rev: rev})
//
// Its values live as long as one request.
package proto
