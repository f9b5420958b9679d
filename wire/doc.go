// Package wire encodes typed messages and sends them between the processes of
// the system.
//
//	codec := wire.NewCodec(Ping{}, Pong{})
//	data, err := codec.Encode(Ping{})
//
// A frame is valid for one request.
package wire
