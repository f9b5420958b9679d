// Package proto defines the messages between the processes of the system.
//
//	reply, err := client.Call(ctx, addr, proto.Pull{Rev: rev})
//
// A message is valid for one request.
package proto
